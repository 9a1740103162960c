#include "LibTarget/target_response.h"

namespace kingcupmill {

const char* ToString(TargetErrorCode code) {
  switch (code) {
    case TargetErrorCode::kNone:
      return "none";
    case TargetErrorCode::kTooManyConnections:
      return "too_many_connections";
    case TargetErrorCode::kNotPrimary:
      return "not_primary";
    case TargetErrorCode::kTermSuperseded:
      return "term_superseded";
    case TargetErrorCode::kWritesHeld:
      return "held";
    case TargetErrorCode::kBehind:
      return "behind";
    case TargetErrorCode::kBusy:
      return "busy";
    case TargetErrorCode::kNotReadOnly:
      return "not_read_only";
    case TargetErrorCode::kSqlError:
      return "sql_error";
    case TargetErrorCode::kConstraint:
      return "constraint";
    case TargetErrorCode::kTransactionLost:
      return "transaction_lost";
    case TargetErrorCode::kUnconfirmed:
      return "unconfirmed";
    case TargetErrorCode::kMalformed:
      return "malformed";
  }
  return "malformed";
}

}  // namespace kingcupmill
