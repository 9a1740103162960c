#ifndef LIBROUTING_READ_QUERY_H_
#define LIBROUTING_READ_QUERY_H_

#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// What a read demands of the data it sees.
struct ReadQuery {
  // When the read reached this proxy.
  TimePoint arrived_at;
  // The session's point in the group, if it has one.
  std::optional<LogPoint> session_point;
  // The greatest age the caller accepts, if it states one.
  std::optional<Duration> maximum_age;
};

// How busy a target is, as seen by this proxy.
struct TargetLoad {
  // The expected time until a new request starts to run.
  Duration expected_wait{0};
  // The round-trip time to the target.
  Duration round_trip{0};
  bool is_leaving = false;
  // Whether the target is in the same place as this proxy.
  bool is_local = false;
};

// Where a read goes.
struct ReadDecision {
  enum class Kind {
    kSend,   // Send it to `target`.
    kRetry,  // Nothing can serve it now; ask again after new statuses.
    kFail,   // Nothing can ever serve it; `reason` says why.
  };
  Kind kind = Kind::kRetry;
  TargetName target;
  bool is_primary = false;
  Position minimum_position;
  // How long the target may wait until it has reached the minimum position.
  Duration wait{0};
  std::string reason;
};

}  // namespace kingcupmill

#endif  // LIBROUTING_READ_QUERY_H_
