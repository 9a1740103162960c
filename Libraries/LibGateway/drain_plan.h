#ifndef LIBGATEWAY_DRAIN_PLAN_H_
#define LIBGATEWAY_DRAIN_PLAN_H_

#include <cstddef>

#include "LibCore/time.h"

namespace kingcupmill {

// The schedule of a graceful shutdown: which work the proxy still accepts, by
// the time since the shutdown was requested. All times derive from the grace
// period after which the process is killed, so that the kill interrupts
// nothing:
//   1. Until idle_close_start(), the proxy serves as usual, since callers still
//      connect to it.
//   2. From then on, it closes idle sessions at an even rate.
//   3. From reject_start() on, it accepts no new session or transaction, and
//      a statement only if the timeout of its route expires by deadline().
//   4. At deadline(), it answers statements that still run as in doubt.
class DrainPlan {
 public:
  // `grace` is the time between the request to stop and the kill.
  explicit DrainPlan(Duration grace) : grace(grace) {}

  // Until then, new sessions may arrive, since the proxy's readiness change has
  // not reached all callers.
  Duration idle_close_start() const;
  // When idle transactions are rolled back and new work is rejected.
  Duration reject_start() const { return this->grace / 2; }
  // When the process stops waiting for statements that still run.
  Duration deadline() const;

  bool accepts_sessions(Duration elapsed) const {
    return elapsed < this->reject_start();
  }
  bool accepts_transactions(Duration elapsed) const {
    return elapsed < this->reject_start();
  }
  // Whether to accept a statement that is answered within `timeout`.
  bool accepts_statement(Duration elapsed, Duration timeout) const;

  // Returns how many of the `count` open sessions to close now. Called every
  // `interval`; spreads the closes until reject_start(), so that the callers do
  // not all reconnect elsewhere at once.
  size_t SessionsToClose(size_t count,
                         Duration elapsed,
                         Duration interval) const;

 private:
  Duration grace;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_DRAIN_PLAN_H_
