#ifndef LIBCORE_TIME_H_
#define LIBCORE_TIME_H_

#include <time.h>

#include <chrono>

namespace kingcupmill {

// All durations have microsecond resolution.
using Duration = std::chrono::microseconds;
// A point on one process's monotonic clock; never compared between machines.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::duration_cast;
using Milliseconds = std::chrono::milliseconds;

// Returns the monotonic time. The clock also advances while the machine is
// suspended, so that a lease held by a suspended process expires.
inline TimePoint MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

// Returns `duration` in whole milliseconds, rounded down.
inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

}  // namespace kingcupmill

#endif  // LIBCORE_TIME_H_
