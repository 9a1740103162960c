#ifndef LIBSTATEMENT_STATEMENT_ANSWER_H_
#define LIBSTATEMENT_STATEMENT_ANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "LibCore/names.h"

namespace kingcupmill {

// The transaction state of a session after an answer.
enum class SessionState { kIdle, kInTransaction, kFailedTransaction };

// Why a statement failed.
enum class StatementErrorCode {
  // The attempt had no effect; with kAborted the transaction is rolled back.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMisrouted,
  kConnectionLimit,
  kNoPreparedStatement,
  // The outcome is unknown.
  kInDoubt,
  kTimeout,
  // The statement ran and failed.
  kFailed,
  // The request is invalid.
  kNoDatabase,
  kMalformed,
  // Any other error code of a target. The statement may or may not have had an
  // effect.
  kOther,
  // The caller's key is not valid; nothing ran. The codes are numbers in the
  // messages between proxies, so new ones go to the end.
  kNotAuthorized,
};

struct StatementError {
  StatementErrorCode code = StatementErrorCode::kOther;
  std::string message;
};

// The status that a target reports.
struct TargetReport {
  bool is_primary = false;
  Term term;
  // The end of the log that it has received. It may not have applied all of it.
  LogPoint received;
};

// The complete answer to one statement.
struct StatementAnswer {
  std::vector<std::string> rows;
  // The target's proof that the statement ran there; empty if this proxy
  // answered without a target.
  std::string receipt;
  std::optional<StatementError> error;
  SessionState state = SessionState::kIdle;
  // The end of the target's log, if a target answered.
  std::optional<LogPoint> position;
  // Set only in the answer to a status command.
  std::optional<TargetReport> report;
};

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_STATEMENT_ANSWER_H_
