#ifndef LIBCORE_SCHEDULER_H_
#define LIBCORE_SCHEDULER_H_

#include <cstdint>
#include <functional>

#include "LibCore/time.h"

namespace kingcupmill {

// A clock and a queue of tasks that run one at a time: EventLoop in daemons,
// VirtualScheduler in tests. All members but Post() are called from tasks.
class Scheduler {
 public:
  using Task = std::function<void()>;
  using TimerId = uint64_t;

  virtual ~Scheduler() = default;

  virtual TimePoint Now() const = 0;

  // Queues `task` to run as soon as possible. Callable from any thread.
  virtual void Post(Task task) = 0;

  // Runs `task` once after `delay`, unless the returned timer is cancelled.
  virtual TimerId PostAfter(Duration delay, Task task) = 0;

  // Cancels a timer. Does nothing if it has fired already.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace kingcupmill

#endif  // LIBCORE_SCHEDULER_H_
