#ifndef LIBFAILOVER_ADAPTIVE_TIMEOUT_H_
#define LIBFAILOVER_ADAPTIVE_TIMEOUT_H_

#include "LibCore/time.h"

namespace kingcupmill {

// Computes a timeout from observed durations: their smoothed mean plus a
// multiple of their smoothed deviation, clamped to a range. See V. Jacobson,
// "Congestion Avoidance and Control", SIGCOMM 1988.
class AdaptiveTimeout {
 public:
  struct Options {
    Duration floor = std::chrono::milliseconds(150);
    Duration ceiling = std::chrono::seconds(2);
    // The multiple of the smoothed deviation.
    int64_t deviations = 6;
  };

  explicit AdaptiveTimeout(Options options);

  void Observe(Duration sample);

  // Returns the current timeout, which is the ceiling before the first sample.
  Duration timeout() const;
  Duration mean() const { return this->smoothed_mean; }

 private:
  Options options;
  bool has_sample = false;
  Duration smoothed_mean{0};
  Duration smoothed_deviation{0};
};

}  // namespace kingcupmill

#endif  // LIBFAILOVER_ADAPTIVE_TIMEOUT_H_
