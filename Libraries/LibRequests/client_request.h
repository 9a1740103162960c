#ifndef LIBREQUESTS_CLIENT_REQUEST_H_
#define LIBREQUESTS_CLIENT_REQUEST_H_

#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibSql/statement.h"

namespace kingcupmill {

// The operation that a client requests.
enum class ClientOperation {
  kRead,
  kWrite,
  kBegin,
  kExecute,
  kCommit,
  kRollback,
  kGetOutcome,  // Asks for the outcome of an earlier request.
};

// Whether a request may be sent again when its outcome is unknown.
enum class Repeatability { kNotRepeatable, kRepeatable };

// The priority class of an application. Urgent work is queued ahead of ordinary
// work.
enum class Priority { kUrgent, kOrdinary };

// A client's request, as proxies process it and forward it to each other.
struct ClientRequest {
  ClientOperation operation = ClientOperation::kRead;
  ApplicationName application;
  GroupName group;
  Priority priority = Priority::kOrdinary;
  Statement statement;
  // Only for kWrite, kBegin and kGetOutcome: the idempotency key under which
  // the outcome is recorded.
  RequestId request_id;
  Repeatability repeatability = Repeatability::kNotRepeatable;
  // The time that remains until the client's deadline.
  Duration time_left = std::chrono::seconds(5);
  // Only for kRead: the requested bounds on the staleness of the result.
  std::optional<Duration> maximum_age;
  std::optional<LogPoint> session_point;
  // Only for kExecute, kCommit and kRollback.
  TransactionId transaction;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_CLIENT_REQUEST_H_
