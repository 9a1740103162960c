#include "LibLab/experiment_report.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace kingcupmill {

std::string FormatReportAsJson(const ExperimentReport& report) {
  const auto& violations = report.violations;
  nlohmann::ordered_json json;
  json["workload"] = report.workload;
  json["requests"] = {{"sent", report.requests.sent},
                      {"ran", report.requests.ran},
                      {"not_run", report.requests.not_run},
                      {"unknown", report.requests.unknown}};
  json["violations"] = {{"lost", violations.lost},
                        {"duplicated", violations.duplicated},
                        {"mixed", violations.mixed},
                        {"superseded_ack", violations.superseded_ack},
                        {"read_your_writes", violations.read_your_writes},
                        {"false_not_run", violations.false_not_run},
                        {"stale_beyond_age", violations.stale_beyond_age}};
  json["replica_read_share"] = report.replica_read_share();
  json["failover_gap_ms"] = nlohmann::ordered_json::array();
  for (const Duration gap : report.failover_gaps)
    json["failover_gap_ms"].push_back(ToMilliseconds(gap));
  json["latency_us"] = {
      {"read",
       {{"p50", report.read_p50.count()}, {"p99", report.read_p99.count()}}},
      {"write",
       {{"p50", report.write_p50.count()}, {"p99", report.write_p99.count()}}}};
  return json.dump(2) + "\n";
}

std::string FormatReportAsTable(const ExperimentReport& report) {
  std::string text;
  const auto row = [&](std::string_view name, const std::string& value) {
    text += fmt::format("  {:<34}{:>14}\n", name, value);
  };
  const auto& violations = report.violations;
  text += fmt::format("workload {}\n", report.workload);
  row("requests sent", std::to_string(report.requests.sent));
  row("  ran", std::to_string(report.requests.ran));
  row("  not run", std::to_string(report.requests.not_run));
  row("  unknown", std::to_string(report.requests.unknown));
  row("violations: lost", std::to_string(violations.lost));
  row("  duplicated", std::to_string(violations.duplicated));
  row("  mixed", std::to_string(violations.mixed));
  row("  superseded acknowledgement",
      std::to_string(violations.superseded_ack));
  row("  read your writes", std::to_string(violations.read_your_writes));
  row("  false not run", std::to_string(violations.false_not_run));
  row("  stale beyond age", std::to_string(violations.stale_beyond_age));
  row("replica read share", fmt::format("{:.3f}", report.replica_read_share()));
  for (const Duration gap : report.failover_gaps)
    row("failover gap", fmt::format("{} ms", ToMilliseconds(gap)));
  row("read latency p50 / p99",
      fmt::format("{} / {} us", report.read_p50.count(),
                  report.read_p99.count()));
  row("write latency p50 / p99",
      fmt::format("{} / {} us", report.write_p50.count(),
                  report.write_p99.count()));
  for (const auto& [reason, count] : report.reasons)
    text += fmt::format("  {:>6} x {}\n", count, reason);
  return text;
}

}  // namespace kingcupmill
