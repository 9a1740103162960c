#ifndef LIBEMULATOR_EMULATED_BALANCER_H_
#define LIBEMULATOR_EMULATED_BALANCER_H_

#include <functional>
#include <vector>

#include "LibCore/scheduler.h"

namespace kingcupmill {

// Asks each proxy once a second whether it is ready and sends new sessions only
// to those that did not miss two questions in a row.
class EmulatedBalancer {
 public:
  // Whether the proxy of an index answers that it is ready.
  using IsReady = std::function<bool(size_t)>;

  EmulatedBalancer(Scheduler& scheduler, IsReady is_ready)
      : scheduler(scheduler), is_ready(std::move(is_ready)) {}

  // Asks proxies 0 to `count` - 1 from now on.
  void Start(size_t count);

  // Returns the proxies in rotation, or all when there is none.
  std::vector<size_t> InRotation() const;

 private:
  void Ask();

  Scheduler& scheduler;
  IsReady is_ready;
  // Questions in a row that each proxy missed.
  std::vector<int> misses;
  bool is_started = false;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_BALANCER_H_
