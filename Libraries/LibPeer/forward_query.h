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
#include "LibStatement/session_record.h"
#include "LibStatement/statement_answer.h"
#include "LibStatement/transaction_step.h"

namespace kingcupmill {

// Asks a home of a group to run one statement, or to start a transaction.
struct ForwardQuery {
  // Chosen by the asker; unique. Names the transaction that is started.
  std::string name;
  CallerRoute route;
  TargetCommand command;
  // The id of the caller's statement, for the log.
  std::string caller_id;
  bool needs_primary = false;
  bool is_write = false;
  bool opens_transaction = false;
  // The session's values; what it has prepared travels with the statement.
  SessionRecord::Values values;
  // The end of the log after the session's own last commit.
  std::optional<LogPoint> session_point;
  // How long ago the caller's statement was received.
  Duration waited{};
};

struct ForwardAnswer {
  // Whether the peer is a home that takes work; otherwise nothing has run.
  bool is_taken = false;
  StatementAnswer answer;
  // Whether a transaction is open under the name of the question.
  bool is_open = false;
  // How long the group's primary has left the peer's questions unanswered.
  Duration primary_silence{};
};

// Runs the next statement of a transaction that the peer holds.
struct ContinueQuery {
  std::string name;
  // Counts the statements from 0: one that was lost ends the transaction.
  uint64_t sequence = 0;
  TransactionStep step = TransactionStep::kRead;
  TargetCommand command;
  SessionRecord::Values values;
};

struct ContinueAnswer {
  // Whether the peer still held the transaction; otherwise it was rolled back
  // and the statement has not run.
  bool is_known = false;
  StatementAnswer answer;
  // The position of the log after a commit that wrote.
  std::optional<LogPoint> committed;
};

// Rolls a transaction back.
struct EndQuery {
  std::string name;
};

struct EndAnswer {};

nlohmann::json ToJson(const ForwardQuery& query);
nlohmann::json ToJson(const ForwardAnswer& answer);
nlohmann::json ToJson(const ContinueQuery& query);
nlohmann::json ToJson(const ContinueAnswer& answer);

// These throw json::exception on anything that the above do not write.
ForwardQuery ForwardQueryFromJson(const nlohmann::json& value);
ForwardAnswer ForwardAnswerFromJson(const nlohmann::json& value);
ContinueQuery ContinueQueryFromJson(const nlohmann::json& value);
ContinueAnswer ContinueAnswerFromJson(const nlohmann::json& value);

}  // namespace kingcupmill

#endif  // LIBPEER_FORWARD_QUERY_H_
