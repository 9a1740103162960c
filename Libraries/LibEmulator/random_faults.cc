#include "LibEmulator/random_faults.h"

#include "LibEmulator/emulated_cluster.h"

namespace kingcupmill {

namespace {

constexpr Duration kFaultInterval = std::chrono::milliseconds(1500);
// Covers the longest fault, the expiry of a lease and a handover.
constexpr Duration kRecovery = std::chrono::seconds(32);
constexpr Duration kMeasuredTime = std::chrono::seconds(3);

}  // namespace

RandomFaultReport RunRandomFaults(const RandomFaultOptions& run) {
  EmulatedCluster::Options options;
  options.seed = run.seed;
  options.nodes = run.nodes;
  options.groups = 2;
  EmulatedCluster cluster(options);
  cluster.Start();
  for (int round = 0; round < run.rounds; ++round) {
    cluster.InjectFault();
    cluster.RunFor(kFaultInterval);
  }
  cluster.HealAll();
  cluster.RunFor(kRecovery);
  const uint64_t before = cluster.TotalCounts().writes_succeeded;
  cluster.RunFor(kMeasuredTime);
  RandomFaultReport report;
  report.writes_after_healing = cluster.TotalCounts().writes_succeeded - before;
  report.violations = cluster.checker().violations();
  report.statements = cluster.TotalCounts().sent;
  for (size_t index = 0; index < options.groups; ++index)
    report.promotions += cluster.group(index).promotions();
  return report;
}

}  // namespace kingcupmill
