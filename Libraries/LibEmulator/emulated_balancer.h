#ifndef LIBEMULATOR_EMULATED_BALANCER_H_
#define LIBEMULATOR_EMULATED_BALANCER_H_

#include <functional>
#include <vector>

#include "LibCore/scheduler.h"

namespace kingcupmill {

// A load balancer that checks once a second whether each proxy is ready and
// sends new sessions only to proxies that passed one of the last two checks.
class EmulatedBalancer {
 public:
  // Whether the proxy at an index reports that it is ready.
  using IsReady = std::function<bool(size_t)>;

  EmulatedBalancer(Scheduler& scheduler, IsReady is_ready)
      : scheduler(scheduler), is_ready(std::move(is_ready)) {}

  // Starts to check proxies 0 to `count` - 1, which count as not ready until
  // they pass a check.
  void Start(size_t count);

  // Returns the proxies in rotation, or all proxies when none is.
  std::vector<size_t> InRotation() const;

 private:
  void CheckReadiness();

  Scheduler& scheduler;
  IsReady is_ready;
  // The consecutive checks that each proxy failed.
  std::vector<int> missed_checks;
  bool is_started = false;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_BALANCER_H_
