#ifndef LIBREQUESTS_CLIENT_REQUEST_H_
#define LIBREQUESTS_CLIENT_REQUEST_H_

#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibSql/statement.h"

namespace kingcupmill {

// What a caller asks for.
enum class ClientOperation {
  kRead,
  kWrite,
  kBegin,
  kExecute,
  kCommit,
  kRollback,
  kFate,  // Asks what became of an earlier request.
};

// Whether the system may run a request again when it is unsure.
enum class Repeatability { kNotRepeatable, kRepeatable };

// The class of an application; urgent work is queued ahead of ordinary work.
enum class Priority { kUrgent, kOrdinary };

// One request of a caller, as proxies handle and forward it.
struct ClientRequest {
  ClientOperation operation = ClientOperation::kRead;
  ApplicationName application;
  GroupName group;
  Priority priority = Priority::kOrdinary;
  Statement statement;
  // kWrite, kBegin, kFate: the id under which the outcome is recorded.
  RequestId request_id;
  Repeatability repeatability = Repeatability::kNotRepeatable;
  // The time left until the caller's deadline.
  Duration time_left = std::chrono::seconds(5);
  // kRead.
  std::optional<Duration> maximum_age;
  std::optional<LogPoint> session_point;
  // kExecute, kCommit, kRollback.
  TransactionId transaction;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_CLIENT_REQUEST_H_
