#ifndef LIBDISPATCH_WORK_REQUEST_H_
#define LIBDISPATCH_WORK_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/route_table.h"
#include "LibDispatch/Forward.h"
#include "LibDispatch/caller_transaction.h"
#include "LibLink/target_command.h"
#include "LibStatement/Forward.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// One statement outside a transaction, or the start of a transaction.
struct WorkRequest {
  CallerRoute route;
  TargetCommand command;
  // The id of the caller's statement, for the log. The start of a transaction
  // is the proxy's own command and has none.
  std::string caller_id;
  // Only the primary can run it.
  bool needs_primary = false;
  // It changes data when it runs, so it is sent once only.
  bool is_write = false;
  // It starts a transaction, which holds its connection.
  bool opens_transaction = false;
  std::shared_ptr<const SessionRecord> record;
  // The end of the log after the session's own last commit.
  std::optional<LogPoint> session_point;
  TimePoint received_at;
};

// How a WorkRequest ended.
struct WorkOutcome {
  StatementAnswer answer;
  // The transaction, when one was started.
  std::unique_ptr<CallerTransaction> transaction;
};

using DidFinishWork = std::function<void(WorkOutcome)>;

}  // namespace kingcupmill

#endif  // LIBDISPATCH_WORK_REQUEST_H_
