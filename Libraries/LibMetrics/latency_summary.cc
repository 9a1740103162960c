#include "LibMetrics/latency_summary.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace kingcupmill {

namespace accumulators = boost::accumulators;

namespace {

// With fewer samples, the estimates of the P2 algorithm are meaningless.
constexpr uint64_t kMinimumSamples = 10;
constexpr std::array<double, 4> kProbabilities = {0.5, 0.9, 0.99, 0.999};
constexpr size_t kP50Index = 0;
constexpr size_t kP99Index = 2;

using Accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::sum,
                        accumulators::tag::max,
                        accumulators::tag::extended_p_square>>;

Duration FromMicroseconds(double value) {
  return Duration(static_cast<int64_t>(value));
}

}  // namespace

struct LatencySummary::State {
  Accumulator accumulator{accumulators::extended_p_square_probabilities =
                              kProbabilities};

  Duration Quantile(size_t index) const {
    const auto samples = accumulators::count(this->accumulator);
    if (samples == 0)
      return Duration(0);
    if (samples < kMinimumSamples)
      return FromMicroseconds(accumulators::max(this->accumulator));
    return FromMicroseconds(
        accumulators::extended_p_square(this->accumulator)[index]);
  }
};

LatencySummary::LatencySummary() : state(std::make_unique<State>()) {}
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary&& other) noexcept = default;
LatencySummary& LatencySummary::operator=(LatencySummary&& other) noexcept =
    default;

void LatencySummary::Observe(Duration sample) {
  this->state->accumulator(static_cast<double>(sample.count()));
}

uint64_t LatencySummary::count() const {
  return accumulators::count(this->state->accumulator);
}

Duration LatencySummary::sum() const {
  return FromMicroseconds(accumulators::sum(this->state->accumulator));
}

Duration LatencySummary::p50() const {
  return this->state->Quantile(kP50Index);
}

Duration LatencySummary::p99() const {
  return this->state->Quantile(kP99Index);
}

Duration LatencySummary::maximum() const {
  if (this->count() == 0)
    return Duration(0);
  return FromMicroseconds(accumulators::max(this->state->accumulator));
}

}  // namespace kingcupmill
