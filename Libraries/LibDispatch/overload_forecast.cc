#include "LibDispatch/overload_forecast.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// Each start moves the average interval by the difference divided by this.
constexpr int kAverageWeightDivisor = 8;
// A request that waited for less was only delayed by the event loop.
constexpr Duration kMinimumWait = std::chrono::milliseconds(2);
// Without a start of a waiting request for this long, the load is unknown.
constexpr Duration kValidity = std::chrono::milliseconds(500);
// A request is hopeless if it would wait for this much longer than it can.
constexpr int kHopelessPercentage = 125;
// Callers are told to return after this at least, and at most.
constexpr Duration kMinimumReturnDelay = std::chrono::milliseconds(20);
constexpr Duration kMaximumReturnDelay = std::chrono::milliseconds(1000);

}  // namespace

bool OverloadForecast::has_recent_start(TimePoint now) const {
  return now - this->last_start_at < kValidity;
}

void OverloadForecast::DidStart(TimePoint queued_at, TimePoint now) {
  if (now - queued_at < kMinimumWait)
    return;
  // Before this request was queued, nothing was waiting, or the start that
  // ended that wait is the previous one.
  const Duration interval = now - std::max(this->last_start_at, queued_at);
  if (!this->has_recent_start(now))
    this->start_interval = interval;
  else
    this->start_interval +=
        (interval - this->start_interval) / kAverageWeightDivisor;
  this->last_start_at = now;
}

Duration OverloadForecast::WaitBehind(size_t ahead, TimePoint now) const {
  if (!this->has_recent_start(now))
    return Duration(0);
  return this->start_interval * static_cast<int64_t>(ahead + 1);
}

bool OverloadForecast::is_hopeless(Duration wait, Duration limit) {
  return wait * 100 > limit * kHopelessPercentage;
}

Duration OverloadForecast::TakeReturnDelay(Duration wait,
                                           Duration limit,
                                           TimePoint now) {
  const Duration excess = std::max(wait - limit, kMinimumReturnDelay);
  this->last_return_at =
      std::clamp(this->last_return_at + this->start_interval, now + excess,
                 now + std::max(excess, kMaximumReturnDelay));
  return this->last_return_at - now;
}

}  // namespace kingcupmill
