#include "LibGateway/isolation_detector.h"

namespace kingcupmill {

namespace {

// Proxies in other places are probed every 150 ms while isolation is suspected,
// so two probes remain unanswered within this period.
constexpr Duration kConfirmationPeriod = std::chrono::milliseconds(400);

}  // namespace

void IsolationDetector::Observe(const Observation& observation, TimePoint now) {
  this->is_suspected = observation.groups > 0 &&
                       observation.remote_members > 0 &&
                       2 * observation.silent_groups > observation.groups;
  if (!this->is_suspected) {
    this->suspected_since.reset();
    this->isolated_since.reset();
    return;
  }
  if (!this->suspected_since)
    this->suspected_since = now;
  const Duration suspected_for = now - *this->suspected_since;
  const bool has_recent_answer =
      observation.last_answer_age < kConfirmationPeriod;
  if (has_recent_answer) {
    this->isolated_since.reset();
    return;
  }
  if (suspected_for >= kConfirmationPeriod && !this->isolated_since)
    this->isolated_since = now;
}

}  // namespace kingcupmill
