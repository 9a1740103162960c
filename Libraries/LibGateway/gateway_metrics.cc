#include "LibGateway/gateway_metrics.h"

#include <fmt/format.h>

#include "LibStatement/error_names.h"

namespace kingcupmill {

namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void GatewayMetrics::DidAnswer(const StatementAnswer& answer,
                               Duration elapsed) {
  const size_t index =
      answer.error ? static_cast<size_t>(answer.error->code) + 1 : 0;
  ++this->answers.at(index);
  this->latency.Observe(elapsed);
}

std::string GatewayMetrics::Format() const {
  std::string text = "# TYPE kingcupmill_statements_total counter\n";
  for (size_t index = 0; index < this->answers.size(); ++index) {
    const std::string_view outcome =
        index == 0 ? "ok"
                   : ToString(static_cast<StatementErrorCode>(index - 1));
    text += fmt::format("kingcupmill_statements_total{{outcome=\"{}\"}} {}\n",
                        outcome, this->answers.at(index));
  }
  text += fmt::format(
      "# TYPE kingcupmill_statement_seconds summary\n"
      "kingcupmill_statement_seconds{{quantile=\"0.5\"}} {:.6f}\n"
      "kingcupmill_statement_seconds{{quantile=\"0.99\"}} {:.6f}\n"
      "kingcupmill_statement_seconds_sum {:.6f}\n"
      "kingcupmill_statement_seconds_count {}\n",
      ToSeconds(this->latency.p50()), ToSeconds(this->latency.p99()),
      ToSeconds(this->latency.sum()), this->latency.count());
  return text;
}

}  // namespace kingcupmill
