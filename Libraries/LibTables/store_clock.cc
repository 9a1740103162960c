#include "LibTables/store_clock.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// The clocks of two machines gain on each other by less than one part in this
// many.
constexpr int kDriftDivisor = 1000;

}  // namespace

TimePoint StoreClock::LocalTime(Duration store_time) const {
  const Duration elapsed = store_time - this->reference->store_time;
  return this->reference->local_time + elapsed - elapsed / kDriftDivisor;
}

TimePoint StoreClock::MadeAt(TimePoint sent_at,
                             TimePoint received_at,
                             std::optional<Duration> store_time) {
  if (!store_time)
    return sent_at;
  // The store's clock went back: it was restarted, or an older answer came
  // late. Nothing is known about the relation of the clocks any more.
  if (this->reference && *store_time < this->reference->store_time)
    this->reference.reset();
  TimePoint made_at = sent_at;
  if (this->reference)
    made_at = std::clamp(this->LocalTime(*store_time), sent_at, received_at);
  this->reference = Reference{*store_time, made_at};
  return made_at;
}

}  // namespace kingcupmill
