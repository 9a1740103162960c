#include "LibDispatch/zone_balancer.h"

#include <algorithm>
#include <cmath>

namespace kingcupmill {

namespace {

// The averages are over about this many answers, so that the mix of short and
// long statements does not look like a wait.
constexpr int kAverageSamples = 32;
// With fewer answers the average is not used.
constexpr int kMinimumSamples = 8;
// An older average says nothing about the present.
constexpr Duration kAverageValidity = std::chrono::seconds(2);
// The mean interval between two steps; each is up to a quarter shorter or
// longer.
constexpr Duration kStepInterval = std::chrono::milliseconds(200);
constexpr double kStep = 0.05;
// The share moves when the zone is slower or faster than the others by more
// than this fraction of its latency.
constexpr double kHysteresis = 0.1;
// The zone is busy when answers take longer than in calm times by this fraction
// and by this time, and not busy any more at half of that.
constexpr double kBusyExcess = 0.5;
constexpr double kBusyExcessMs = 4;
// How fast the latency of calm times follows a rise, for each step: half of it
// in 35 s.
constexpr double kCalmRise = 1.0 / 256;
// A read waits for a target only if it is this much cheaper; otherwise the
// expected latencies are too uncertain to wait for the better one.
constexpr double kWaitingFactor = 1.5;
constexpr double kRecentShareWeight = 1.0 / 64;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void ZoneBalancer::Average::Add(Duration elapsed, TimePoint now) {
  if (now - this->updated_at > kAverageValidity)
    this->samples = 0;
  this->samples = std::min(this->samples + 1, kAverageSamples);
  this->ms += (ToMs(elapsed) - this->ms) / this->samples;
  this->updated_at = now;
}

bool ZoneBalancer::Average::is_known(TimePoint now) const {
  return this->samples >= kMinimumSamples &&
         now - this->updated_at <= kAverageValidity;
}

ZoneBalancer::ZoneBalancer(uint64_t seed) : random(seed) {}

void ZoneBalancer::DidAnswer(bool is_elsewhere,
                             Duration elapsed,
                             TimePoint now) {
  (is_elsewhere ? this->elsewhere : this->home).Add(elapsed, now);
}

void ZoneBalancer::DidFailElsewhere() {
  this->share = 0;
  this->credit = 0;
}

void ZoneBalancer::UpdateIsBusy(TimePoint now) {
  // Without answers in the zone nothing is known of it.
  if (!this->home.is_known(now)) {
    this->is_busy = false;
    return;
  }
  if (this->calm_ms == 0 || this->home.ms < this->calm_ms)
    this->calm_ms = this->home.ms;
  else
    this->calm_ms += (this->home.ms - this->calm_ms) * kCalmRise;
  const double limit = std::max(kBusyExcessMs, this->calm_ms * kBusyExcess);
  const double excess = this->home.ms - this->calm_ms;
  const bool was_busy = this->is_busy;
  this->is_busy = excess > (was_busy ? limit / 2 : limit);
  // One request may leave at once, to find out.
  if (this->is_busy && !was_busy)
    this->credit = 1;
}

void ZoneBalancer::Step(TimePoint now) {
  if (now < this->next_step_at)
    return;
  // The multiplier and increment of Knuth's MMIX generator.
  this->random = this->random * 6364136223846793005ULL + 1442695040888963407ULL;
  const auto jitter = static_cast<int64_t>((this->random >> 33) % 50);
  this->next_step_at = now + kStepInterval * (75 + jitter) / 100;
  this->UpdateIsBusy(now);
  if (!this->is_busy) {
    this->share = std::max(this->share - kStep, 0.0);
    return;
  }
  // Where nothing is known of the others, they are taken to be calm, and a
  // small share finds out.
  const double elsewhere_ms =
      ToMs(kCrossingCost) +
      (this->elsewhere.is_known(now) ? this->elsewhere.ms : this->calm_ms);
  const double difference = this->home.ms - elsewhere_ms;
  if (std::abs(difference) < kHysteresis * this->home.ms)
    return;
  this->share =
      std::clamp(this->share + (difference > 0 ? kStep : -kStep), 0.0, 1.0);
}

void ZoneBalancer::DidSend(bool is_elsewhere) {
  this->departure_count += is_elsewhere ? 1 : 0;
  this->recent_share +=
      ((is_elsewhere ? 1.0 : 0.0) - this->recent_share) * kRecentShareWeight;
  // Unused credit does not add up to a burst.
  this->credit = std::min(this->credit + this->share, 1.0);
}

ZoneBalancer::Decision ZoneBalancer::Decide(const Pick& pick,
                                            std::optional<Duration> busy_cost,
                                            bool can_stay,
                                            Duration waited,
                                            TimePoint now) {
  this->Step(now);
  if (!this->is_busy)
    return Decision::kTakePick;
  // A connection becomes free after a wait that is not known. A read that waits
  // until it has waited for the difference loses at most twice that.
  const bool may_wait = waited < kMaximumHold;
  if (may_wait && busy_cost && kWaitingFactor * *busy_cost + waited < pick.cost)
    return Decision::kWait;
  if (!pick.is_elsewhere || pick.is_measured || this->TakeCredit())
    return Decision::kTakePick;
  if (can_stay)
    return Decision::kStay;
  return may_wait ? Decision::kWait : Decision::kTakePick;
}

bool ZoneBalancer::TakeForwardElsewhere(TimePoint now) {
  this->Step(now);
  return this->is_busy && this->TakeCredit();
}

bool ZoneBalancer::TakeCredit() {
  if (this->credit < 1)
    return false;
  --this->credit;
  return true;
}

}  // namespace kingcupmill
