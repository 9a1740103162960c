#include "LibStatement/error_names.h"

namespace kingcupmill {

std::string_view ToString(StatementErrorCode code) {
  switch (code) {
    case StatementErrorCode::kBusy:
      return "busy";
    case StatementErrorCode::kAborted:
      return "aborted";
    case StatementErrorCode::kLagging:
      return "lagging";
    case StatementErrorCode::kReadOnly:
      return "read_only";
    case StatementErrorCode::kMisrouted:
      return "misrouted";
    case StatementErrorCode::kConnectionLimit:
      return "connection_limit";
    case StatementErrorCode::kNoPreparedStatement:
      return "no_prepared_statement";
    case StatementErrorCode::kInDoubt:
      return "in_doubt";
    case StatementErrorCode::kTimeout:
      return "timeout";
    case StatementErrorCode::kFailed:
      return "failed";
    case StatementErrorCode::kNoDatabase:
      return "no_database";
    case StatementErrorCode::kMalformed:
      return "malformed";
    case StatementErrorCode::kOther:
      return "other";
    case StatementErrorCode::kNotAuthorized:
      return "not_authorized";
  }
  return "other";
}

}  // namespace kingcupmill
