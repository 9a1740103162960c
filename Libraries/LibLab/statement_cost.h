#ifndef LIBLAB_STATEMENT_COST_H_
#define LIBLAB_STATEMENT_COST_H_

#include <cstdint>
#include <string>

#include "LibCore/error.h"
#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// The daemon and the target to compare. Both run in processes of their own.
struct StatementCostOptions {
  // HTTP address of the proxy, "IP:port".
  std::string proxy;
  // Address of a target of the group, "IP:port".
  std::string target;
  GroupName group;
  ApplicationName application;
  // The daemon's process id, used to read its processor time.
  int64_t daemon_process = 0;
  size_t sequential_calls = 2000;
  size_t concurrency = 32;
  Duration duration = std::chrono::seconds(5);
};

// The latency of a read sent directly to the target and through the proxy, and
// the proxy's throughput.
struct StatementCost {
  Duration direct_p50{0};
  Duration direct_p99{0};
  Duration proxied_p50{0};
  Duration proxied_p99{0};
  // Concurrent reads per second, and per second of the daemon's processor time.
  double proxied_per_second = 0;
  double proxied_per_core_second = 0;
};

// Runs the comparison. Fails when the proxy or the target does not answer, or
// answers with an error.
Result<StatementCost> MeasureStatementCost(const StatementCostOptions& options);

std::string FormatStatementCost(const StatementCost& cost);

}  // namespace kingcupmill

#endif  // LIBLAB_STATEMENT_COST_H_
