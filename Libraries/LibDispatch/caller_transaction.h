#ifndef LIBDISPATCH_CALLER_TRANSACTION_H_
#define LIBDISPATCH_CALLER_TRANSACTION_H_

#include <functional>
#include <optional>

#include "LibCore/names.h"
#include "LibLink/target_command.h"
#include "LibStatement/session_context.h"
#include "LibStatement/statement_answer.h"
#include "LibStatement/transaction_step.h"

namespace kingcupmill {

// One caller's transaction, whichever proxy holds its connection. Destroying it
// rolls back a transaction that was not committed.
class CallerTransaction {
 public:
  using DidAnswer = std::function<void(StatementAnswer)>;

  virtual ~CallerTransaction() = default;

  // Runs one statement. The previous statement must have been answered.
  virtual void Run(const SessionContext& session_context,
                   TargetCommand command,
                   TransactionStep step,
                   DidAnswer did_answer) = 0;

  // Returns the position of the commit in the log, or nothing unless the
  // transaction has written and committed.
  virtual std::optional<LogPoint> committed_point() const = 0;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_CALLER_TRANSACTION_H_
