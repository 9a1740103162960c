#ifndef LIBREQUESTS_CLIENT_ANSWER_H_
#define LIBREQUESTS_CLIENT_ANSWER_H_

#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibSql/result_set.h"

namespace kingcupmill {

// What became of a request.
enum class Outcome { kRan, kNotRun, kUnknown };

// Why a request did not simply run.
enum class ClientError {
  kNone,
  kInvalidRequest,     // The request itself is wrong.
  kInvalidToken,       // The session token is malformed, forged or ahead.
  kNotGranted,         // The application may not use the group.
  kNoSuchGroup,        // The arrangement has no such group.
  kNoSuchTransaction,  // The transaction has ended or never existed.
  kTransactionBusy,    // An earlier statement of it has not been answered.
  kSqlError,           // The database refused the statement.
  kRequestIdReused,    // The request id belongs to another request.
  kOverloaded,         // The request could not meet its deadline.
  kUnavailable,        // No target could serve it before its deadline.
  kDraining,           // This proxy is shutting down.
  kNotHome,            // Between proxies: the receiver is no home.
  kOutcomeUnknown,     // The request may or may not have run.
};

// The answer to one ClientRequest.
struct ClientAnswer {
  Outcome outcome = Outcome::kNotRun;
  ClientError error = ClientError::kNone;
  std::string message;
  ResultSet result;
  // The point that a later read of the session must have seen.
  std::optional<LogPoint> point;
  RequestId request_id;
  TransactionId transaction;
  // The target that served it and whether it was the primary.
  TargetName target;
  bool is_from_primary = false;
  // The outcome was found in the ledger, so the rows are not in `result`.
  bool is_replayed = false;
  // kOverloaded: when a new attempt makes sense.
  Duration retry_after{0};
};

// Returns the documented name of an outcome or error.
const char* ToString(Outcome outcome);
const char* ToString(ClientError error);

// Returns an answer that says that the request did not run.
ClientAnswer NotRun(ClientError error, std::string message);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_CLIENT_ANSWER_H_
