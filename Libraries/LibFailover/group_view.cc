#include "LibFailover/group_view.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// The oldest pending samples beyond this number are dropped.
constexpr size_t kMaximumPendingSamples = 64;

}  // namespace

GroupView::GroupView(std::vector<TargetName> members,
                     StalenessTracker::Options tracker_options)
    : names(std::move(members)), tracker(tracker_options) {}

void GroupView::DidReceiveStatus(const TargetName& target,
                                 const TargetStatus& status,
                                 TimePoint sent_at,
                                 TimePoint received_at) {
  Observation& observation = this->observations[target];
  if (sent_at < observation.sent_at)
    return;
  KINGCUPMILL_VERIFY(status.visible <= status.confirmed.position);
  observation.status = status;
  observation.sent_at = sent_at;
  observation.received_at = received_at;
  observation.is_reachable = true;
  this->highest_known_term = std::max(this->highest_known_term, status.term);
  this->highest_confirmed =
      std::max(this->highest_confirmed, status.confirmed.position);
  // A new primary's confirmed position covers every acknowledged entry only
  // once the primary has confirmed an entry of its own term. Until then
  // acknowledged entries of earlier terms may lie after it.
  if (status.role == TargetRole::kPrimary &&
      status.confirmed.term == status.term) {
    this->pending_samples.push_back(
        {status.term, sent_at, status.confirmed.position});
  }
  if (this->pending_samples.size() > kMaximumPendingSamples)
    this->pending_samples.erase(this->pending_samples.begin());
  this->AddConfirmedSamples();
}

void GroupView::DidLoseTarget(const TargetName& target, TimePoint now) {
  Observation& observation = this->observations[target];
  if (!observation.is_reachable)
    return;
  observation.is_reachable = false;
  observation.unreachable_since = now;
}

std::optional<PrimaryView> GroupView::primary() const {
  for (const auto& [name, observation] : this->observations) {
    if (observation.is_reachable &&
        observation.status.role == TargetRole::kPrimary &&
        observation.status.term == this->highest_known_term) {
      return PrimaryView{name, this->highest_known_term};
    }
  }
  return std::nullopt;
}

std::optional<TimePoint> GroupView::majority_confirmed_at() const {
  std::vector<TimePoint> times;
  for (const auto& [name, observation] : this->observations) {
    if (observation.status.term == this->highest_known_term)
      times.push_back(observation.sent_at);
  }
  if (times.size() < this->majority())
    return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[this->majority() - 1];
}

const GroupView::Observation* GroupView::Find(const TargetName& target) const {
  const auto observation = this->observations.find(target);
  return observation == this->observations.end() ? nullptr
                                                 : &observation->second;
}

void GroupView::AddConfirmedSamples() {
  const auto confirmed_at = this->majority_confirmed_at();
  std::erase_if(this->pending_samples, [&](const PendingSample& candidate) {
    if (candidate.term < this->highest_known_term)
      return true;
    if (!confirmed_at || candidate.at > *confirmed_at)
      return false;
    this->tracker.Add(candidate.at, candidate.confirmed);
    return true;
  });
}

}  // namespace kingcupmill
