#ifndef LIBGATEWAY_ISOLATION_DETECTOR_H_
#define LIBGATEWAY_ISOLATION_DETECTOR_H_

#include <cstddef>
#include <optional>

#include "LibCore/time.h"

namespace kingcupmill {

// Detects that this proxy is isolated by a network partition, so that callers
// should use other proxies instead: most primaries do not answer it, and no
// proxy in another place does either. A proxy that is alone because the others
// are down still reaches the primaries and keeps serving, as long as it can
// renew its leases on most of them.
class IsolationDetector {
 public:
  struct Observation {
    size_t groups = 0;
    // Groups whose primary does not answer.
    size_t silent_groups = 0;
    // Groups on whose primary the lease cannot be renewed: neither the store
    // nor most of the homes answer.
    size_t unrenewable_groups = 0;
    // Proxies in other places that are not known to be gone.
    size_t remote_members = 0;
    // The time since the last answer from any of these proxies.
    Duration last_answer_age{};
  };

  // Updates the verdict. Called periodically with the state at `now`.
  void Observe(const Observation& observation, TimePoint now);

  // Whether proxies in other places should be probed now.
  bool should_probe() const { return this->is_suspected; }
  bool is_isolated() const { return this->isolated_since.has_value(); }
  // When the proxy was found to be isolated, or nothing while it is not.
  std::optional<TimePoint> since() const { return this->isolated_since; }

 private:
  bool is_suspected = false;
  std::optional<TimePoint> suspected_since;
  std::optional<TimePoint> isolated_since;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_ISOLATION_DETECTOR_H_
