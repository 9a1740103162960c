#include "LibGateway/drain_plan.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// Callers stop opening sessions here about two seconds after the proxy reports
// that it is not ready; those whose sessions are closed earlier would reconnect
// to it.
constexpr Duration kIdleCloseDelay = std::chrono::milliseconds(2300);
constexpr double kMaximumIdleCloseShare = 0.4;
// The part of the grace period kept for sending the last answers and for the
// last write to the store.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(700);
constexpr double kMaximumAnswerReserveShare = 0.15;

Duration ShareOf(Duration whole, double share) {
  return duration_cast<Duration>(whole * share);
}

}  // namespace

Duration DrainPlan::idle_close_start() const {
  return std::min(kIdleCloseDelay,
                  ShareOf(this->grace, kMaximumIdleCloseShare));
}

Duration DrainPlan::deadline() const {
  return this->grace -
         std::min(kAnswerReserve,
                  ShareOf(this->grace, kMaximumAnswerReserveShare));
}

bool DrainPlan::accepts_statement(Duration elapsed, Duration timeout) const {
  return elapsed < this->reject_start() ||
         elapsed + timeout <= this->deadline();
}

size_t DrainPlan::SessionsToClose(size_t count,
                                  Duration elapsed,
                                  Duration interval) const {
  if (elapsed < this->idle_close_start())
    return 0;
  if (elapsed + interval >= this->reject_start())
    return count;
  const auto rounds =
      static_cast<size_t>((this->reject_start() - elapsed) / interval);
  return (count + rounds - 1) / rounds;
}

}  // namespace kingcupmill
