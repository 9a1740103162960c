#ifndef LIBPRIMARY_POSITION_SAMPLES_H_
#define LIBPRIMARY_POSITION_SAMPLES_H_

#include <deque>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Keeps recent samples of the end of a group's log, which bound the staleness
// of replicas.
//
// If the primary reports a position in answer to a command that was sent at
// time t, under a lease that was valid at t, the position covers every commit
// acknowledged before t. A replica whose log holds the position is therefore at
// most now - t stale.
class PositionSamples {
 public:
  // Adds a position that the primary reported in answer to a command sent at
  // `sent_at`. Called for each such answer; the sample is dropped when it is
  // not clearly newer than the last one.
  void Add(LogPoint position, TimePoint sent_at);

  // Returns the smallest sampled position that covers every commit acknowledged
  // before `moment`, among samples of `term` or later.
  std::optional<LogPoint> PositionCovering(TimePoint moment, Term term) const;

  // Returns when the command of the newest sample was sent.
  std::optional<TimePoint> newest_at() const;

 private:
  struct Sample {
    LogPoint position;
    TimePoint sent_at;
  };
  // Sorted by `sent_at`.
  std::deque<Sample> samples;
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_POSITION_SAMPLES_H_
