#include "LibRequests/client_answer.h"

#include <utility>

namespace kingcupmill {

const char* ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToString(ClientError error) {
  switch (error) {
    case ClientError::kNone:
      return "none";
    case ClientError::kInvalidRequest:
      return "invalid_request";
    case ClientError::kInvalidToken:
      return "invalid_token";
    case ClientError::kNotGranted:
      return "not_granted";
    case ClientError::kNoSuchGroup:
      return "no_such_group";
    case ClientError::kNoSuchTransaction:
      return "no_such_transaction";
    case ClientError::kTransactionBusy:
      return "transaction_busy";
    case ClientError::kSqlError:
      return "sql_error";
    case ClientError::kRequestIdReused:
      return "request_id_reused";
    case ClientError::kOverloaded:
      return "overloaded";
    case ClientError::kUnavailable:
      return "unavailable";
    case ClientError::kDraining:
      return "draining";
    case ClientError::kNotHome:
      return "not_home";
    case ClientError::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "outcome_unknown";
}

ClientAnswer NotRun(ClientError error, std::string message) {
  ClientAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.error = error;
  answer.message = std::move(message);
  return answer;
}

}  // namespace kingcupmill
