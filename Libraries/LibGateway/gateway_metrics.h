#ifndef LIBGATEWAY_GATEWAY_METRICS_H_
#define LIBGATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <string>

#include "LibCore/time.h"
#include "LibMetrics/latency_summary.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// Counts the answers to callers by outcome and records their latency.
class GatewayMetrics {
 public:
  void DidAnswer(const StatementAnswer& answer, Duration elapsed);

  // Returns the metrics in the Prometheus text format.
  std::string Format() const;

 private:
  // One more than the error codes, for success.
  static constexpr size_t kOutcomes =
      static_cast<size_t>(StatementErrorCode::kNotAuthorized) + 2;

  std::array<uint64_t, kOutcomes> answers{};
  LatencySummary latency;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_GATEWAY_METRICS_H_
