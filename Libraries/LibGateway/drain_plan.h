#ifndef LIBGATEWAY_DRAIN_PLAN_H_
#define LIBGATEWAY_DRAIN_PLAN_H_

#include <cstddef>

#include "LibCore/time.h"

namespace kingcupmill {

// What a proxy that was asked to stop still takes, by the time since it was
// asked. Everything is a share of the time until it is ended by force, so that
// nothing is left to cut when that time is over:
//   1. At first sessions go on as before; new ones still come here.
//   2. From the end of the notice on, sessions at rest are closed evenly.
//   3. From the middle on, no transaction and no session begins, and a
//   statement
//      only if it is over in time by its route's limit.
//   4. At the end what still runs is answered as in doubt.
class DrainPlan {
 public:
  // `grace` is the time between the request to stop and the end by force.
  explicit DrainPlan(Duration grace) : grace(grace) {}

  // Until then new sessions may come, since callers are still sent here.
  Duration notice() const;
  // When transactions that rest are rolled back.
  Duration middle() const { return this->grace / 2; }
  // When the process gives up what still runs.
  Duration end() const;

  bool takes_sessions(Duration elapsed) const {
    return elapsed < this->middle();
  }
  bool takes_transactions(Duration elapsed) const {
    return elapsed < this->middle();
  }
  // Whether a statement that is answered within `timeout` is taken.
  bool takes_statement(Duration elapsed, Duration timeout) const;

  // How many of `count` sessions at rest to close now, when this is asked each
  // `interval`; their callers open new ones elsewhere, so not all at once.
  size_t SessionsToClose(size_t count,
                         Duration elapsed,
                         Duration interval) const;

 private:
  Duration grace;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_DRAIN_PLAN_H_
