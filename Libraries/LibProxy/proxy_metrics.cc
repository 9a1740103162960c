#include "LibProxy/proxy_metrics.h"

#include <fmt/format.h>

namespace kingcupmill {

namespace {

const char* ToString(ClientOperation operation) {
  switch (operation) {
    case ClientOperation::kRead:
      return "read";
    case ClientOperation::kWrite:
      return "write";
    case ClientOperation::kBegin:
      return "begin";
    case ClientOperation::kExecute:
      return "execute";
    case ClientOperation::kCommit:
      return "commit";
    case ClientOperation::kRollback:
      return "rollback";
    case ClientOperation::kGetOutcome:
      return "fate";
  }
  return "fate";
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ProxyMetrics::DidFinish(ClientOperation operation,
                             const ClientAnswer& answer,
                             Duration elapsed) {
  ++this->outcomes[{operation, answer.outcome}];
  this->latencies[operation].Observe(elapsed);
  if (operation != ClientOperation::kRead || answer.outcome != Outcome::kRan)
    return;
  if (answer.is_from_primary)
    ++this->primary_reads;
  else
    ++this->replica_reads;
}

std::string ProxyMetrics::Format() const {
  std::string text = "# TYPE kingcupmill_requests_total counter\n";
  for (const auto& [key, count] : this->outcomes) {
    text += fmt::format(
        "kingcupmill_requests_total{{operation=\"{}\",outcome=\"{}\"}} {}\n",
        ToString(key.first), kingcupmill::ToString(key.second), count);
  }
  text += "# TYPE kingcupmill_request_seconds summary\n";
  for (const auto& [operation, latency] : this->latencies) {
    const char* name = ToString(operation);
    text += fmt::format(
        "kingcupmill_request_seconds{{operation=\"{0}\",quantile=\"0.5\"}} "
        "{1}\n"
        "kingcupmill_request_seconds{{operation=\"{0}\",quantile=\"0.99\"}} "
        "{2}\n"
        "kingcupmill_request_seconds_sum{{operation=\"{0}\"}} {3}\n"
        "kingcupmill_request_seconds_count{{operation=\"{0}\"}} {4}\n",
        name, ToSeconds(latency.p50()), ToSeconds(latency.p99()),
        ToSeconds(latency.sum()), latency.count());
  }
  text += fmt::format(
      "# TYPE kingcupmill_reads_total counter\n"
      "kingcupmill_reads_total{{role=\"primary\"}} {}\n"
      "kingcupmill_reads_total{{role=\"replica\"}} {}\n",
      this->primary_reads, this->replica_reads);
  return text;
}

void AppendGauge(std::string& text, const char* name, double value) {
  text += fmt::format("# TYPE {0} gauge\n{0} {1}\n", name, value);
}

}  // namespace kingcupmill
