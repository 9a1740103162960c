#ifndef LIBSTATEMENT_STATEMENT_ANSWER_H_
#define LIBSTATEMENT_STATEMENT_ANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "LibCore/names.h"

namespace kingcupmill {

// Where a session stands after an answer.
enum class SessionState { kIdle, kInTransaction, kFailedTransaction };

// Why a statement failed.
enum class StatementErrorCode {
  // Nothing of the attempt is kept.
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
  // The request itself is wrong.
  kNoDatabase,
  kMalformed,
  // Any other code of a target; it promises nothing.
  kOther,
};

struct StatementError {
  StatementErrorCode code = StatementErrorCode::kOther;
  std::string message;
};

// What a target says of itself.
struct TargetReport {
  bool is_primary = false;
  Term term;
  // The end of what it has received, which it may not have applied yet.
  LogPoint received;
};

// The whole answer to one statement.
struct StatementAnswer {
  std::vector<std::string> rows;
  // The target's proof that the statement ran there; empty when this proxy
  // answered by itself.
  std::string receipt;
  std::optional<StatementError> error;
  SessionState state = SessionState::kIdle;
  // The end of the target's log, when a target answered.
  std::optional<LogPoint> position;
  // Only in the answer to a status command.
  std::optional<TargetReport> report;
};

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_STATEMENT_ANSWER_H_
