#include "LibGateway/isolation_detector.h"

namespace kingcupmill {

namespace {

// Proxies in other places are probed every 150 ms while isolation is suspected,
// so two probes remain unanswered within this period.
constexpr Duration kConfirmationPeriod = std::chrono::milliseconds(400);

}  // namespace

void IsolationDetector::Observe(const Observation& observation, TimePoint now) {
  const bool is_losing_leases =
      2 * observation.unrenewable_groups > observation.groups;
  this->is_suspected =
      observation.groups > 0 && observation.remote_members > 0 &&
      (2 * observation.silent_groups > observation.groups || is_losing_leases);
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
  if (has_recent_answer && !is_losing_leases) {
    this->isolated_since.reset();
    return;
  }
  if (suspected_for >= kConfirmationPeriod && !this->isolated_since)
    this->isolated_since = now;
}

}  // namespace kingcupmill
