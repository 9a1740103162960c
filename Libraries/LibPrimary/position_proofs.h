#ifndef LIBPRIMARY_POSITION_PROOFS_H_
#define LIBPRIMARY_POSITION_PROOFS_H_

#include <deque>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Remembers where a group's log ended at which time.
//
// A position that the primary reported in answer to something sent at time t,
// under a lease that was valid at t, covers every commit acknowledged before t.
// A log that holds the position is therefore at most now - t old.
class PositionProofs {
 public:
  // Takes a position that the primary reported in answer to a command sent at
  // `sent_at`.
  void Add(LogPoint position, TimePoint sent_at);

  // Returns the smallest position that covers every commit acknowledged before
  // `moment`, from proofs of `term` or later.
  std::optional<LogPoint> Covering(TimePoint moment, Term term) const;

  // Returns when the newest proof was sent.
  std::optional<TimePoint> newest_at() const;

 private:
  struct Proof {
    LogPoint position;
    TimePoint sent_at;
  };
  // Ordered by time of sending.
  std::deque<Proof> proofs;
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_POSITION_PROOFS_H_
