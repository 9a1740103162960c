#ifndef LIBPROXY_PROXY_METRICS_H_
#define LIBPROXY_PROXY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "LibCore/time.h"
#include "LibMetrics/latency_summary.h"
#include "LibRequests/client_answer.h"
#include "LibRequests/client_request.h"

namespace kingcupmill {

// Counts the requests of callers at one proxy and measures their latency.
class ProxyMetrics {
 public:
  void DidFinish(ClientOperation operation,
                 const ClientAnswer& answer,
                 Duration elapsed);

  // Returns the metrics in the Prometheus text format.
  std::string Format() const;

 private:
  std::map<std::pair<ClientOperation, Outcome>, uint64_t> outcomes;
  std::map<ClientOperation, LatencySummary> latencies;
  uint64_t primary_reads = 0;
  uint64_t replica_reads = 0;
};

// Appends a gauge without labels in the Prometheus text format.
void AppendGauge(std::string& text, const char* name, double value);

}  // namespace kingcupmill

#endif  // LIBPROXY_PROXY_METRICS_H_
