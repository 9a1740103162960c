#ifndef LIBCORE_SCHEDULER_H_
#define LIBCORE_SCHEDULER_H_

#include <cstdint>
#include <functional>

#include "LibCore/time.h"

namespace kingcupmill {

// Tells the time and runs tasks later, one after another. Daemons use an event
// loop; tests use virtual time. All members but Post() are called from tasks.
class Scheduler {
 public:
  using Task = std::function<void()>;
  using TimerId = uint64_t;

  virtual ~Scheduler() = default;

  virtual TimePoint Now() const = 0;

  // Runs `task` soon; callable from any thread.
  virtual void Post(Task task) = 0;

  // Runs `task` after `delay`.
  virtual TimerId PostAfter(Duration delay, Task task) = 0;

  // Forgets a timer that has not fired.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace kingcupmill

#endif  // LIBCORE_SCHEDULER_H_
