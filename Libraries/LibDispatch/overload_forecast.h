#ifndef LIBDISPATCH_OVERLOAD_FORECAST_H_
#define LIBDISPATCH_OVERLOAD_FORECAST_H_

#include <cstddef>

#include "LibCore/time.h"

namespace kingcupmill {

// Predicts how long a request waits behind others while the targets of a group
// are busy, from how often queued requests were started lately. A request whose
// wait cannot end in time is refused when it arrives, and its caller is told to
// return when the queue has room again.
class OverloadForecast {
 public:
  // Records that a request was started that had been queued at `queued_at`.
  void DidStart(TimePoint queued_at, TimePoint now);

  // Returns how long a request waits that has `ahead` others before it; zero
  // while nothing is known of the current load.
  Duration WaitBehind(size_t ahead, TimePoint now) const;

  // Whether a request that would wait for `wait` is unlikely to be started
  // within `limit`. Some of those before it may be refused themselves, so this
  // allows for a shorter wait.
  static bool is_hopeless(Duration wait, Duration limit);

  // Returns when the caller of a request should return that was refused because
  // it would have waited for `wait` and could wait for `limit`. Successive
  // callers get successive times, as far apart as requests are started.
  Duration TakeReturnDelay(Duration wait, Duration limit, TimePoint now);

  // Whether a start is recent enough for a forecast.
  bool has_recent_start(TimePoint now) const;

 private:
  // The average time between two starts while requests were waiting.
  Duration start_interval{};
  TimePoint last_start_at{};
  // When the last refused caller was told to return.
  TimePoint last_return_at{};
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_OVERLOAD_FORECAST_H_
