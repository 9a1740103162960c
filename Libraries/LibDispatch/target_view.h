#ifndef LIBDISPATCH_TARGET_VIEW_H_
#define LIBDISPATCH_TARGET_VIEW_H_

#include <memory>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/target_entry.h"
#include "LibLink/connection_pool.h"

namespace kingcupmill {

// What this proxy knows about one target from its answers.
class TargetView {
 public:
  TargetView(TargetEntry entry, std::unique_ptr<ConnectionPool> pool);

  // Records the end of the target's log as reported at `now`.
  void DidReportPosition(LogPoint point, TimePoint now);
  // Records how long a statement took.
  void DidAnswer(Duration elapsed, TimePoint now);
  // Records that the target rejected a command because it is overloaded.
  void DidReportOverload(TimePoint now);

  // Returns how long one more statement would take.
  Duration ExpectedLatency(TimePoint now) const;

  // Whether the target has answered a statement so recently that
  // ExpectedLatency() is measured and not assumed.
  bool has_recent_latency(TimePoint now) const;

  // Whether the target is known not to have reached `point`.
  bool is_behind(LogPoint point, TimePoint now) const;

  TargetEntry entry;
  std::unique_ptr<ConnectionPool> pool;
  // Statements that were sent and not answered.
  int in_flight = 0;
  TimePoint last_answer_at{};
  // When the latest of the answered commands was sent.
  TimePoint newest_answered_sent_at{};
  std::optional<LogPoint> last_point;
  TimePoint last_point_at{};
  TimePoint overloaded_until{};
  // When the target was first seen to be leaving.
  std::optional<TimePoint> leaving_since;
  // Whether this proxy has seen the target ready.
  bool was_ready = false;

 private:
  Duration average_latency;
  TimePoint average_updated_at{};
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_TARGET_VIEW_H_
