#include "LibEmulator/random_faults.h"

#include <algorithm>
#include <set>
#include <vector>

#include "LibCore/random_source.h"
#include "LibEmulator/emulated_cluster.h"

namespace kingcupmill {

namespace {

constexpr Duration kFaultInterval = std::chrono::milliseconds(1500);
// Covers the longest fault, the expiry of a lease and a handover.
constexpr Duration kRecovery = std::chrono::seconds(32);
constexpr Duration kMeasuredTime = std::chrono::seconds(3);
// The ranges of how old a backup of the store is, and how long the store is
// away before it is restored.
constexpr uint64_t kMaximumLostMs = 12'000;
constexpr uint64_t kMaximumAwayMs = 3'000;
constexpr uint64_t kMaximumReplicaFaultMs = 6'000;
constexpr uint64_t kMaximumLagMs = 400;
constexpr uint64_t kReplicaFaultKinds = 7;

EmulatedTarget& RandomReplica(EmulatedGroup& group, SeededRandom& random) {
  std::vector<EmulatedTarget*> replicas;
  for (const auto& target : group.targets()) {
    if (target.get() != &group.leader())
      replicas.push_back(target.get());
  }
  return *replicas[random.Below(replicas.size())];
}

// Injects a random fault of one replica, which ends by itself.
void InjectReplicaFault(EmulatedCluster& cluster,
                        EmulatedGroup& group,
                        SeededRandom& random) {
  EmulatedTarget& replica = RandomReplica(group, random);
  const std::chrono::milliseconds duration(
      500 + random.Below(kMaximumReplicaFaultMs));
  switch (random.Below(kReplicaFaultKinds)) {
    case 0:
    case 1:
      return cluster.SlowReplication(
          replica.name(),
          std::chrono::milliseconds(random.Below(kMaximumLagMs)), duration);
    case 2:
      return cluster.FailStatus(replica.name(), EmulatedStatusFault::kSlow,
                                duration);
    case 3:
      return cluster.FailStatus(replica.name(), EmulatedStatusFault::kBusy,
                                duration);
    case 4:
      return cluster.FailStatus(replica.name(), EmulatedStatusFault::kSilent,
                                duration);
    case 5:
      return cluster.ReleaseTarget(replica.name());
    default:
      return cluster.CrashTarget(replica.name(), duration);
  }
}

}  // namespace

RandomFaultReport RunRandomFaults(const RandomFaultOptions& run) {
  EmulatedCluster::Options options;
  options.seed = run.seed;
  options.nodes = run.nodes;
  options.groups = 2;
  options.synchronous_replicas = run.synchronous_replicas;
  EmulatedCluster cluster(options);
  cluster.Start();
  SeededRandom replica_random(run.seed);
  SeededRandom restore_random(run.seed);
  std::multiset<int> restore_rounds;
  for (int restore = 0; restore < run.restores; ++restore)
    restore_rounds.insert(static_cast<int>(
        restore_random.Below(static_cast<uint64_t>(std::max(run.rounds, 1)))));
  for (int round = 0; round < run.rounds; ++round) {
    cluster.InjectFault();
    if (run.synchronous_replicas > 0)
      InjectReplicaFault(cluster,
                         cluster.group(replica_random.Below(options.groups)),
                         replica_random);
    if (restore_rounds.contains(round)) {
      const std::chrono::milliseconds lost(
          restore_random.Below(kMaximumLostMs));
      const std::chrono::milliseconds away(
          restore_random.Below(kMaximumAwayMs));
      cluster.RestoreStore(lost, away);
    }
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
