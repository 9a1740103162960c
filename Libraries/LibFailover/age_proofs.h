#ifndef LIBFAILOVER_AGE_PROOFS_H_
#define LIBFAILOVER_AGE_PROOFS_H_

#include <deque>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Remembers which position contained everything that had been acknowledged at
// which time. Data that has reached that position is at most as old as the time
// passed since then.
class AgeProofs {
 public:
  struct Options {
    // Proofs older than this are forgotten; also the largest provable age.
    Duration retention = std::chrono::seconds(60);
    // Proofs closer together than this are not kept.
    Duration spacing = std::chrono::milliseconds(20);
  };

  explicit AgeProofs(Options options);

  // Adds the proof that everything acknowledged before `at` is at or before
  // `position`. Times and positions do not decrease from call to call; a proof
  // that does is ignored.
  void Add(TimePoint at, Position position);

  // Returns the lowest position that is proven to be no older than `since`.
  std::optional<Position> PositionSince(TimePoint since) const;

  // Returns the latest time at which `position` contained everything that had
  // been acknowledged.
  std::optional<TimePoint> ProvenAt(Position position) const;

 private:
  struct Proof {
    TimePoint at;
    Position position;
  };

  Options options;
  std::deque<Proof> proofs;
};

}  // namespace kingcupmill

#endif  // LIBFAILOVER_AGE_PROOFS_H_
