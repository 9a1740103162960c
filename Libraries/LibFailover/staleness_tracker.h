#ifndef LIBFAILOVER_STALENESS_TRACKER_H_
#define LIBFAILOVER_STALENESS_TRACKER_H_

#include <deque>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Tracks how stale a log position is. A sample states that a position included
// every entry that had been acknowledged at some time. Data that has reached
// the position is at most as stale as the time that has passed since the
// sample.
class StalenessTracker {
 public:
  struct Options {
    // Samples older than this are dropped. This is also the largest staleness
    // that can be proven.
    Duration retention = std::chrono::seconds(60);
    // The shortest time between two samples, except for the newest one.
    Duration spacing = std::chrono::milliseconds(20);
  };

  explicit StalenessTracker(Options options);

  // Adds a sample: every entry that was acknowledged before `at` lies at or
  // before `position`. A sample with an earlier time or a lower position than
  // the last one is ignored.
  void Add(TimePoint at, Position position);

  // Returns the lowest position that is known to include every entry that was
  // acknowledged before `since`. Returns nothing when there is no such sample.
  std::optional<Position> LowestPositionFreshAt(TimePoint since) const;

  // Returns the latest time at which `position` is known to have included every
  // acknowledged entry. Returns nothing when there is no such sample.
  std::optional<TimePoint> LastFreshAt(Position position) const;

 private:
  struct Sample {
    TimePoint at;
    Position position;
  };

  Options options;
  std::deque<Sample> samples;
};

}  // namespace kingcupmill

#endif  // LIBFAILOVER_STALENESS_TRACKER_H_
