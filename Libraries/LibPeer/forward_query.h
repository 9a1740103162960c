#ifndef LIBPEER_FORWARD_QUERY_H_
#define LIBPEER_FORWARD_QUERY_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/route_table.h"
#include "LibLink/target_command.h"
#include "LibStatement/session_context.h"
#include "LibStatement/statement_answer.h"
#include "LibStatement/transaction_step.h"

namespace kingcupmill {

// Asks a home of a group to run one statement or to start a transaction.
struct ForwardQuery {
  // Chosen by the querying proxy, unique among all proxies. Also the name of
  // the transaction that is started.
  std::string name;
  CallerRoute route;
  // The customer of the caller with its priority and weight, as in
  // DispatchRequest; empty where no customers are declared.
  CustomerName customer;
  int customer_priority = 0;
  double customer_weight = 1;
  TargetCommand command;
  // The request id of the caller's statement, for the log.
  std::string statement_id;
  // Whether only the primary can run the statement.
  bool needs_primary = false;
  bool is_write = false;
  bool opens_transaction = false;
  // The values that the session has set. A prepared statement that is executed
  // is part of the command.
  SessionContext::Values values;
  // The end of the log after the session's own last commit, for reads that must
  // see it.
  std::optional<LogPoint> session_point;
  // How long the statement had waited at the querying proxy when this was sent.
  Duration waited{};
};

struct ForwardAnswer {
  // Whether the peer is a home that accepts work. Otherwise nothing has run.
  bool is_accepted = false;
  StatementAnswer answer;
  // Whether the peer holds an open transaction with the name of the query.
  bool is_open = false;
  // How long the group's primary has left the peer's queries unanswered.
  Duration primary_silence{};
};

// Runs the next statement of a transaction that the peer holds.
struct ContinueQuery {
  std::string name;
  // Counts the statements of the transaction from 0. A gap, left by a lost
  // query, ends the transaction.
  uint64_t sequence = 0;
  TransactionStep step = TransactionStep::kRead;
  TargetCommand command;
  SessionContext::Values values;
};

struct ContinueAnswer {
  // Whether the peer still held the transaction; otherwise it was rolled back
  // and the statement has not run.
  bool is_known = false;
  StatementAnswer answer;
  // The end of the log after a commit that wrote.
  std::optional<LogPoint> committed;
};

// Rolls back a transaction that the peer holds, if it still does.
struct RollbackQuery {
  std::string name;
};

struct RollbackAnswer {};

nlohmann::json ToJson(const ForwardQuery& query);
nlohmann::json ToJson(const ForwardAnswer& answer);
nlohmann::json ToJson(const ContinueQuery& query);
nlohmann::json ToJson(const ContinueAnswer& answer);

// These throw json::exception on anything that the functions above do not
// write.
ForwardQuery ForwardQueryFromJson(const nlohmann::json& value);
ForwardAnswer ForwardAnswerFromJson(const nlohmann::json& value);
ContinueQuery ContinueQueryFromJson(const nlohmann::json& value);
ContinueAnswer ContinueAnswerFromJson(const nlohmann::json& value);

}  // namespace kingcupmill

#endif  // LIBPEER_FORWARD_QUERY_H_
