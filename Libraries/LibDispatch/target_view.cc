#include "LibDispatch/target_view.h"

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

// The usual time of the present customers' statements on an idle target in the
// same availability zone.
constexpr Duration kDefaultLatency = std::chrono::milliseconds(10);
// Each answer moves the average by the difference divided by this.
constexpr int kAverageWeightDivisor = 8;
// An older average is ignored, so that a target that was slow is tried again.
constexpr Duration kAverageValidity = std::chrono::seconds(2);
// An overloaded target gets no statements for about the time of one statement.
constexpr Duration kOverloadPause = std::chrono::milliseconds(15);
// A replica that had not reached a position is tried again after this time:
// replicas apply the log continuously, and a failed attempt costs a round trip.
constexpr Duration kPositionValidity = std::chrono::milliseconds(40);

}  // namespace

TargetView::TargetView(TargetEntry entry, std::unique_ptr<ConnectionPool> pool)
    : entry(std::move(entry)),
      pool(std::move(pool)),
      average_latency(kDefaultLatency) {}

void TargetView::DidReportPosition(LogPoint point, TimePoint now) {
  this->last_answer_at = now;
  // Answers on several connections can arrive out of order.
  if (!this->last_point || point > *this->last_point)
    this->last_point = point;
  this->last_point_at = now;
}

void TargetView::DidAnswer(Duration elapsed, TimePoint now) {
  if (now - this->average_updated_at > kAverageValidity)
    this->average_latency = elapsed;
  else
    this->average_latency +=
        (elapsed - this->average_latency) / kAverageWeightDivisor;
  this->average_updated_at = now;
  this->last_answer_at = now;
}

void TargetView::DidReportOverload(TimePoint now) {
  this->overloaded_until = now + kOverloadPause;
}

bool TargetView::has_recent_latency(TimePoint now) const {
  return now - this->average_updated_at <= kAverageValidity;
}

Duration TargetView::ExpectedLatency(TimePoint now) const {
  const Duration base =
      this->has_recent_latency(now) ? this->average_latency : kDefaultLatency;
  const int slots = std::max(this->entry.slots, 1);
  Duration expected = base + base * this->in_flight / slots;
  // Unanswered statements are a stronger sign of a slow target than the average
  // of past answers.
  if (this->in_flight > 0 && now - this->last_answer_at > 4 * base)
    expected += now - this->last_answer_at;
  return expected;
}

bool TargetView::is_behind(LogPoint point, TimePoint now) const {
  return this->last_point && *this->last_point < point &&
         now - this->last_point_at < kPositionValidity;
}

}  // namespace kingcupmill
