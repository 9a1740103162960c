#ifndef LIBMETRICS_LATENCY_SUMMARY_H_
#define LIBMETRICS_LATENCY_SUMMARY_H_

#include <cstdint>
#include <memory>

#include "LibCore/time.h"

namespace kingcupmill {

// Estimates quantiles of a stream of durations in constant memory, with the P2
// algorithm of Boost.Accumulators. Not thread-safe.
class LatencySummary {
 public:
  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary&& other) noexcept;
  LatencySummary& operator=(LatencySummary&& other) noexcept;

  void Observe(Duration sample);

  uint64_t count() const;
  Duration sum() const;
  // Estimated quantiles: zero before the first sample, and the maximum while
  // there are fewer than 10 samples.
  Duration p50() const;
  Duration p99() const;
  // The exact maximum; zero before the first sample.
  Duration maximum() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBMETRICS_LATENCY_SUMMARY_H_
