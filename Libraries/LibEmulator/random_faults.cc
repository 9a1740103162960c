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

// The range of the time from a silence to the next configuration.
constexpr uint64_t kMaximumChangeDelayMs = 3'000;
// How soon a configuration is in force once all faults have ended.
constexpr Duration kApplyTime = std::chrono::seconds(3);

// Returns `count` random rounds, which may repeat.
std::multiset<int> RandomRounds(int count, int rounds, SeededRandom& random) {
  std::multiset<int> chosen;
  for (int number = 0; number < count; ++number)
    chosen.insert(static_cast<int>(
        random.Below(static_cast<uint64_t>(std::max(rounds, 1)))));
  return chosen;
}

// Silences the connections of each proxy, or of each with even odds.
void InjectSilence(EmulatedCluster& cluster,
                   size_t nodes,
                   SeededRandom& random) {
  const bool is_for_all = random.Below(2) == 0;
  for (size_t index = 0; index < nodes; ++index) {
    if (is_for_all || random.Below(2) == 0)
      cluster.SilenceConnections(index);
  }
  cluster.ChangeConfigurationAfter(
      std::chrono::milliseconds(random.Below(kMaximumChangeDelayMs)));
}

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
  const std::multiset<int> restore_rounds =
      RandomRounds(run.restores, run.rounds, restore_random);
  SeededRandom silence_random(run.seed);
  const std::multiset<int> silence_rounds =
      RandomRounds(run.silences, run.rounds, silence_random);
  for (int round = 0; round < run.rounds; ++round) {
    cluster.InjectFault();
    if (run.synchronous_replicas > 0)
      InjectReplicaFault(cluster,
                         cluster.group(replica_random.Below(options.groups)),
                         replica_random);
    if (silence_rounds.contains(round))
      InjectSilence(cluster, run.nodes, silence_random);
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
  if (run.silences > 0) {
    cluster.SilenceAllConnections();
    cluster.ChangeConfiguration();
    cluster.RunFor(kApplyTime);
  }
  report.outdated_nodes = cluster.OutdatedNodes();
  report.writes_after_healing = cluster.TotalCounts().writes_succeeded - before;
  report.violations = cluster.checker().violations();
  report.statements = cluster.TotalCounts().sent;
  for (size_t index = 0; index < options.groups; ++index)
    report.promotions += cluster.group(index).promotions();
  return report;
}

}  // namespace kingcupmill
