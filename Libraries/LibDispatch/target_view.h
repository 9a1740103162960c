#ifndef LIBDISPATCH_TARGET_VIEW_H_
#define LIBDISPATCH_TARGET_VIEW_H_

#include <memory>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/target_entry.h"
#include "LibLink/link_pool.h"

namespace kingcupmill {

// What this proxy knows of one target from its answers.
class TargetView {
 public:
  TargetView(TargetEntry entry, std::unique_ptr<LinkPool> pool);

  // Takes the end of the target's log at `now`.
  void DidObserve(LogPoint point, TimePoint now);
  // Takes the time that a statement took.
  void DidAnswer(Duration elapsed, TimePoint now);
  // Takes that the target refused because it has too much to do.
  void DidShed(TimePoint now);

  // Returns the time that one more statement would take.
  Duration ExpectedTime(TimePoint now) const;

  // Whether the target is known to lack `point`.
  bool is_behind(LogPoint point, TimePoint now) const;

  TargetEntry entry;
  std::unique_ptr<LinkPool> pool;
  // Statements sent and not answered.
  int in_flight = 0;
  TimePoint last_answer_at{};
  // When the newest command that was answered had been sent.
  TimePoint newest_answered_sent_at{};
  std::optional<LogPoint> last_point;
  TimePoint last_point_at{};
  TimePoint shed_until{};
  // Since when the target is known to be leaving.
  std::optional<TimePoint> leaving_since;

 private:
  Duration average;
  TimePoint averaged_at{};
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_TARGET_VIEW_H_
