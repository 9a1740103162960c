#include "LibGateway/isolation_watch.h"

namespace kingcupmill {

namespace {

// Others are asked every 150 ms from the first suspicion on; two questions are
// unanswered by then.
constexpr Duration kCertainAfter = std::chrono::milliseconds(400);

}  // namespace

void IsolationWatch::DidSee(const Sight& sight, TimePoint now) {
  this->is_suspected = sight.groups > 0 && sight.others > 0 &&
                       2 * sight.silent_groups > sight.groups;
  if (!this->is_suspected) {
    this->suspected_since.reset();
    this->isolated_since.reset();
    return;
  }
  if (!this->suspected_since)
    this->suspected_since = now;
  const Duration suspected_for = now - *this->suspected_since;
  const bool is_heard = sight.heard_age < kCertainAfter;
  if (is_heard) {
    this->isolated_since.reset();
    return;
  }
  if (suspected_for >= kCertainAfter && !this->isolated_since)
    this->isolated_since = now;
}

}  // namespace kingcupmill
