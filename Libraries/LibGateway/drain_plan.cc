#include "LibGateway/drain_plan.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// New sessions stop coming about two seconds after the proxy says that it is
// not ready; idle sessions closed before would come back here.
constexpr Duration kNotice = std::chrono::milliseconds(2300);
constexpr double kLongestNoticeShare = 0.4;
// What is left of the grace for the last answers and the store's.
constexpr Duration kReserve = std::chrono::milliseconds(700);
constexpr double kLongestReserveShare = 0.15;

Duration ShareOf(Duration whole, double share) {
  return duration_cast<Duration>(whole * share);
}

}  // namespace

Duration DrainPlan::notice() const {
  return std::min(kNotice, ShareOf(this->grace, kLongestNoticeShare));
}

Duration DrainPlan::end() const {
  return this->grace -
         std::min(kReserve, ShareOf(this->grace, kLongestReserveShare));
}

bool DrainPlan::takes_statement(Duration elapsed, Duration timeout) const {
  return elapsed < this->middle() || elapsed + timeout <= this->end();
}

size_t DrainPlan::SessionsToClose(size_t count,
                                  Duration elapsed,
                                  Duration interval) const {
  if (elapsed < this->notice())
    return 0;
  if (elapsed + interval >= this->middle())
    return count;
  const auto rounds =
      static_cast<size_t>((this->middle() - elapsed) / interval);
  return (count + rounds - 1) / rounds;
}

}  // namespace kingcupmill
