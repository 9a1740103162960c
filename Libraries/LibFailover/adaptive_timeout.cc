#include "LibFailover/adaptive_timeout.h"

#include <algorithm>

namespace kingcupmill {

AdaptiveTimeout::AdaptiveTimeout(Options options) : options(options) {}

void AdaptiveTimeout::Observe(Duration sample) {
  if (!this->has_sample) {
    this->has_sample = true;
    this->smoothed_mean = sample;
    this->smoothed_deviation = sample / 2;
    return;
  }
  const Duration error = sample - this->smoothed_mean;
  const Duration distance = error < Duration(0) ? -error : error;
  this->smoothed_mean += error / 8;
  this->smoothed_deviation += (distance - this->smoothed_deviation) / 4;
}

Duration AdaptiveTimeout::timeout() const {
  if (!this->has_sample)
    return this->options.ceiling;
  const Duration estimate =
      this->smoothed_mean + this->options.deviations * this->smoothed_deviation;
  return std::clamp(estimate, this->options.floor, this->options.ceiling);
}

}  // namespace kingcupmill
