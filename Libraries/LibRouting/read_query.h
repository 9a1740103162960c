#ifndef LIBROUTING_READ_QUERY_H_
#define LIBROUTING_READ_QUERY_H_

#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// The consistency requirements of a read.
struct ReadQuery {
  // When this proxy received the read.
  TimePoint arrived_at;
  // The log position in the group up to which the session has seen writes.
  std::optional<LogPoint> session_point;
  // The staleness bound that the client has set.
  std::optional<Duration> maximum_age;
};

// The load of a target, as seen by this proxy.
struct TargetLoad {
  // The estimated time until a new request starts to run.
  Duration expected_wait{0};
  Duration round_trip{0};
  bool is_leaving = false;
  // Whether the target is in the same availability zone as this proxy.
  bool is_local = false;
};

// The routing decision for a read.
struct ReadDecision {
  enum class Kind {
    kSend,   // Send it to `target`.
    kRetry,  // No target qualifies now; try again after new statuses.
    kFail,   // No target will ever qualify; `reason` says why.
  };
  Kind kind = Kind::kRetry;
  TargetName target;
  bool is_primary = false;
  Position minimum_position;
  // The longest time that the target may wait to reach the minimum position.
  Duration wait{0};
  std::string reason;
};

}  // namespace kingcupmill

#endif  // LIBROUTING_READ_QUERY_H_
