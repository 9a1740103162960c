#include "LibDispatch/target_view.h"

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

// What a statement takes on an idle target of today's users, in its zone.
constexpr Duration kUsualTime = std::chrono::milliseconds(10);
// Each answer moves the average by this part of the difference.
constexpr int kAveragePart = 8;
// An average this old says nothing any more, so that a target that was slow is
// tried again.
constexpr Duration kAverageLife = std::chrono::seconds(2);
// A full target is passed over for about the time of one statement.
constexpr Duration kShedPause = std::chrono::milliseconds(15);
// A replica that lacked a position is tried again after this: replicas apply
// continuously, and a try that fails costs a round trip.
constexpr Duration kPositionLife = std::chrono::milliseconds(40);

}  // namespace

TargetView::TargetView(TargetEntry entry, std::unique_ptr<LinkPool> pool)
    : entry(std::move(entry)), pool(std::move(pool)), average(kUsualTime) {}

void TargetView::DidObserve(LogPoint point, TimePoint now) {
  this->last_answer_at = now;
  // Answers on several connections overtake each other.
  if (!this->last_point || point > *this->last_point)
    this->last_point = point;
  this->last_point_at = now;
}

void TargetView::DidAnswer(Duration elapsed, TimePoint now) {
  if (now - this->averaged_at > kAverageLife)
    this->average = elapsed;
  else
    this->average += (elapsed - this->average) / kAveragePart;
  this->averaged_at = now;
  this->last_answer_at = now;
}

void TargetView::DidShed(TimePoint now) {
  this->shed_until = now + kShedPause;
}

Duration TargetView::ExpectedTime(TimePoint now) const {
  const Duration base =
      now - this->averaged_at > kAverageLife ? kUsualTime : this->average;
  const int slots = std::max(this->entry.slots, 1);
  Duration expected = base + base * this->in_flight / slots;
  // Unanswered work says more than an average of answers.
  if (this->in_flight > 0 && now - this->last_answer_at > 4 * base)
    expected += now - this->last_answer_at;
  return expected;
}

bool TargetView::is_behind(LogPoint point, TimePoint now) const {
  return this->last_point && *this->last_point < point &&
         now - this->last_point_at < kPositionLife;
}

}  // namespace kingcupmill
