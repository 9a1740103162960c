#include "LibPrimary/position_samples.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// Minimum interval between two samples. Closer ones make no difference to
// reads.
constexpr Duration kMinimumInterval = std::chrono::milliseconds(20);
// Older samples are of no use to reads, whose staleness bounds are at most a
// few seconds.
constexpr Duration kRetention = std::chrono::seconds(10);

}  // namespace

void PositionSamples::Add(LogPoint position, TimePoint sent_at) {
  if (!this->samples.empty()) {
    const Sample& newest = this->samples.back();
    // Answers on different connections may arrive out of order. A late sample
    // is still valid, but not needed.
    if (sent_at < newest.sent_at + kMinimumInterval)
      return;
  }
  this->samples.push_back(Sample{position, sent_at});
  while (this->samples.front().sent_at + kRetention < sent_at)
    this->samples.pop_front();
}

std::optional<LogPoint> PositionSamples::PositionCovering(TimePoint moment,
                                                          Term term) const {
  const auto first = std::find_if(
      this->samples.begin(), this->samples.end(), [&](const Sample& sample) {
        return sample.sent_at >= moment && sample.position.term >= term;
      });
  if (first == this->samples.end())
    return std::nullopt;
  return first->position;
}

std::optional<TimePoint> PositionSamples::newest_at() const {
  if (this->samples.empty())
    return std::nullopt;
  return this->samples.back().sent_at;
}

}  // namespace kingcupmill
