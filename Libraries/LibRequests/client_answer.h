#ifndef LIBREQUESTS_CLIENT_ANSWER_H_
#define LIBREQUESTS_CLIENT_ANSWER_H_

#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibSql/result_set.h"

namespace kingcupmill {

// Whether a request was run.
enum class Outcome { kRan, kNotRun, kUnknown };

// Why a request failed.
enum class ClientError {
  kNone,
  kInvalidRequest,     // The request is malformed or not allowed.
  kInvalidToken,       // The session token is malformed, forged or lies
                       // ahead of the group's log.
  kNotGranted,         // The application has no access to the group.
  kNoSuchGroup,        // The configuration has no such group.
  kNoSuchTransaction,  // The transaction has ended or never existed.
  kTransactionBusy,    // An earlier statement of the transaction is running.
  kSqlError,           // The database rejected the statement.
  kRequestIdReused,    // The request id was used for a different request.
  kOverloaded,         // The target's queue is full or too slow for the
                       // deadline.
  kUnavailable,        // No target could serve it before the deadline.
  kDraining,           // This proxy is shutting down.
  kNotHome,            // Between proxies: the receiver does not serve the
                       // group.
  kOutcomeUnknown,     // The request may or may not have run.
};

// The response to a ClientRequest.
struct ClientAnswer {
  Outcome outcome = Outcome::kNotRun;
  ClientError error = ClientError::kNone;
  std::string message;
  ResultSet result;
  // The log position that later reads of the session must include.
  std::optional<LogPoint> point;
  RequestId request_id;
  TransactionId transaction;
  // The target that served the request, and whether it was the primary.
  TargetName target;
  bool is_from_primary = false;
  // Whether the outcome was read from the request ledger. `result` then has
  // no rows.
  bool is_replayed = false;
  // Only for kOverloaded: the delay after which the client should retry.
  Duration retry_after{0};
};

// Returns the name of an outcome or error in the client API.
const char* ToString(Outcome outcome);
const char* ToString(ClientError error);

// Returns an answer with Outcome::kNotRun.
ClientAnswer NotRun(ClientError error, std::string message);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_CLIENT_ANSWER_H_
