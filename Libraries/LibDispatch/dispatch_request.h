#ifndef LIBDISPATCH_DISPATCH_REQUEST_H_
#define LIBDISPATCH_DISPATCH_REQUEST_H_

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

// A statement outside a transaction, or the start of a transaction.
struct DispatchRequest {
  CallerRoute route;
  // The customer of the caller; empty where no customers are declared or the
  // caller of an open route has no key.
  CustomerName customer;
  // The customer's declared priority; 0 is the most urgent.
  int customer_priority = 0;
  // The customer's share under overload in relation to other customers; its
  // declared rate, or 1 without one.
  double customer_weight = 1;
  TargetCommand command;
  // The id of the caller's statement, for the log. It is empty for the start of
  // a transaction, which is the proxy's own command.
  std::string statement_id;
  // Only the primary can run it.
  bool needs_primary = false;
  // It changes data, so it is not retried after its answer was lost.
  bool is_write = false;
  // It starts a transaction, which keeps its connection until it ends.
  bool opens_transaction = false;
  std::shared_ptr<const SessionContext> session_context;
  // The position in the log of the session's last commit.
  std::optional<LogPoint> session_point;
  TimePoint received_at;
};

// The result of a DispatchRequest.
struct DispatchOutcome {
  StatementAnswer answer;
  // Set if a transaction was started.
  std::unique_ptr<CallerTransaction> transaction;
};

using DispatchCallback = std::function<void(DispatchOutcome)>;

}  // namespace kingcupmill

#endif  // LIBDISPATCH_DISPATCH_REQUEST_H_
