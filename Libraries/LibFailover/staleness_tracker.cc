#include "LibFailover/staleness_tracker.h"

#include <algorithm>

namespace kingcupmill {

StalenessTracker::StalenessTracker(Options options) : options(options) {}

void StalenessTracker::Add(TimePoint at, Position position) {
  if (!this->samples.empty()) {
    const Sample& last = this->samples.back();
    if (at < last.at || position < last.position)
      return;
    // The last sample is replaced when it is too close to the one before it.
    // This bounds the number of samples and always keeps the newest one.
    const size_t size = this->samples.size();
    if (size >= 2 &&
        last.at - this->samples[size - 2].at < this->options.spacing) {
      this->samples.pop_back();
    }
  }
  this->samples.push_back({at, position});
  while (at - this->samples.front().at > this->options.retention)
    this->samples.pop_front();
}

std::optional<Position> StalenessTracker::LowestPositionFreshAt(
    TimePoint since) const {
  const auto sample =
      std::lower_bound(this->samples.begin(), this->samples.end(), since,
                       [](const Sample& candidate, TimePoint time) {
                         return candidate.at < time;
                       });
  if (sample == this->samples.end())
    return std::nullopt;
  return sample->position;
}

std::optional<TimePoint> StalenessTracker::LastFreshAt(
    Position position) const {
  const auto after =
      std::upper_bound(this->samples.begin(), this->samples.end(), position,
                       [](Position wanted, const Sample& candidate) {
                         return wanted < candidate.position;
                       });
  if (after == this->samples.begin())
    return std::nullopt;
  return std::prev(after)->at;
}

}  // namespace kingcupmill
