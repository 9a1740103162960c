#include <doctest/doctest.h>

#include "LibEmulator/emulated_cluster.h"
#include "LibEmulator/random_faults.h"

namespace kingcupmill {

namespace {

constexpr Duration kForGood = std::chrono::seconds(60);

std::string FirstViolation(EmulatedCluster& cluster) {
  const auto& violations = cluster.checker().violations();
  return violations.empty() ? "" : violations.front();
}

EmulatedCluster::Options SynchronousOptions() {
  EmulatedCluster::Options options;
  options.seed = 5;
  options.callers = 24;
  options.synchronous_replicas = 1;
  return options;
}

// Returns how many writes succeed in the next two seconds.
uint64_t WritesSoon(EmulatedCluster& cluster) {
  const auto before = cluster.TotalCounts().writes_succeeded;
  cluster.RunFor(std::chrono::seconds(2));
  return cluster.TotalCounts().writes_succeeded - before;
}

// The record of the group as the proxies know it.
const PrimaryRecord& NewestRecord(EmulatedCluster& cluster) {
  const PrimaryRecord* newest = nullptr;
  for (size_t index = 0; index < SynchronousOptions().nodes; ++index) {
    if (!cluster.node(index).gateway())
      continue;
    const PrimaryRecord* record =
        cluster.node(index).gateway()->primary_leases().Find(
            cluster.group(0).name());
    if (record && (!newest || record->version > newest->version))
      newest = record;
  }
  REQUIRE(newest);
  return *newest;
}

// Returns the index of the proxy that holds the lease of the coordinator.
size_t Coordinator(EmulatedCluster& cluster) {
  for (size_t index = 0; index < SynchronousOptions().nodes; ++index) {
    if (!cluster.node(index).gateway())
      continue;
    const CoordinatorRecord& coordinator =
        cluster.node(index).gateway()->coordination_view().coordinator();
    if (coordinator.is_held &&
        coordinator.holder.value == "vm-" + cluster.node(index).address())
      return index;
  }
  FAIL("no proxy is the coordinator");
  return 0;
}

// Runs until a target is promoted, for 13 s at most.
void RunUntilPromotion(EmulatedCluster& cluster) {
  for (int step = 0; step < 1300 && cluster.group(0).promotions() == 0; ++step)
    cluster.RunFor(std::chrono::milliseconds(10));
  REQUIRE(cluster.group(0).promotions() == 1);
}

// Runs until the coordinator has recorded which target it is about to promote.
void RunUntilChoice(EmulatedCluster& cluster) {
  for (int step = 0; step < 4000; ++step) {
    cluster.RunFor(std::chrono::milliseconds(1));
    if (!NewestRecord(cluster).promotion_target.value.empty())
      return;
  }
  FAIL("no target was chosen");
}

}  // namespace

// Guards against promotions that lose commits of a group whose primary
// acknowledges them once one replica has them.
TEST_CASE("emulated group with a synchronous replica") {
  EmulatedCluster cluster(SynchronousOptions());
  cluster.Start();
  EmulatedGroup& group = cluster.group(0);
  const TargetName primary = group.leader().name();
  const TargetName ahead = group.targets()[1]->name();
  const TargetName behind = group.targets()[2]->name();
  group.SetLag(ahead, std::chrono::milliseconds(5));
  group.SetLag(behind, std::chrono::milliseconds(150));
  cluster.RunFor(std::chrono::seconds(4));
  REQUIRE(WritesSoon(cluster) > 20);

  SUBCASE("whose primary crashes") {
    SUBCASE("promotes the replica that is ahead") {
      cluster.CrashTarget(primary, kForGood);
    }
    SUBCASE("promotes a replica that is ahead and leaving") {
      cluster.ReleaseTarget(ahead);
      cluster.RunFor(std::chrono::seconds(2));
      cluster.CrashTarget(primary, kForGood);
    }
    SUBCASE("promotes one of two leaving replicas") {
      cluster.ReleaseTarget(ahead);
      cluster.ReleaseTarget(behind);
      cluster.RunFor(std::chrono::seconds(1));
      cluster.CrashTarget(primary, kForGood);
    }
    SUBCASE("waits for the status of a replica that is slow") {
      cluster.FailStatus(ahead, EmulatedStatusFault::kSlow, kForGood);
      cluster.CrashTarget(primary, kForGood);
    }
    SUBCASE("waits for the status of a replica that is busy") {
      cluster.FailStatus(ahead, EmulatedStatusFault::kBusy,
                         std::chrono::milliseconds(3000));
      cluster.CrashTarget(primary, kForGood);
    }
    SUBCASE("waits for the status of a replica that is silent") {
      cluster.FailStatus(ahead, EmulatedStatusFault::kSilent,
                         std::chrono::milliseconds(2500));
      cluster.CrashTarget(primary, kForGood);
    }
    SUBCASE("waits for a crashed replica that is listed") {
      cluster.CrashTarget(primary, kForGood);
      cluster.CrashTarget(ahead, std::chrono::milliseconds(3000));
    }
    RunUntilPromotion(cluster);
    CHECK(group.leader().name() == ahead);
    cluster.RunFor(std::chrono::milliseconds(500));
    CHECK(WritesSoon(cluster) > 10);
    cluster.RunFor(std::chrono::seconds(3));
    CHECK(FirstViolation(cluster) == "");
  }

  // Guards against a count of reports that leaves out a server whose entry has
  // expired.
  SUBCASE("whose furthest replica has lost its entry") {
    cluster.ExpireTargetEntry(ahead, kForGood);
    cluster.RunFor(std::chrono::seconds(5));

    SUBCASE("promotes it") {
      cluster.CrashTarget(primary, kForGood);
    }
    SUBCASE("promotes it, also by proxies that start afterwards") {
      cluster.CrashTarget(primary, kForGood);
      cluster.LosePowerOfAllNodes(std::chrono::milliseconds(1500));
    }
    RunUntilPromotion(cluster);
    CHECK(group.leader().name() == ahead);
    cluster.RunFor(std::chrono::seconds(4));
    CHECK(group.leader().name() == behind);
    CHECK(FirstViolation(cluster) == "");
  }

  SUBCASE("whose furthest replica has ended") {
    cluster.CrashTarget(ahead, kForGood);

    SUBCASE("and the other has caught up, promotes that one") {
      cluster.RunFor(std::chrono::seconds(10));
      cluster.CrashTarget(primary, kForGood);
      RunUntilPromotion(cluster);
      CHECK(group.leader().name() == behind);
    }
    SUBCASE("and the other receives nothing, promotes none") {
      group.SetLag(behind, kForGood);
      cluster.RunFor(std::chrono::seconds(10));
      cluster.CrashTarget(primary, kForGood);
      cluster.RunFor(std::chrono::seconds(6));
      CHECK(group.promotions() == 0);
    }
    CHECK(FirstViolation(cluster) == "");
  }

  // Guards against a group that refuses every write, though a leaving target
  // leads it.
  SUBCASE("serves with leaving replicas alone until their drain limit") {
    cluster.ReleaseTarget(ahead);
    cluster.ReleaseTarget(behind);
    cluster.RunFor(std::chrono::seconds(2));
    cluster.CrashTarget(primary, kForGood);
    RunUntilPromotion(cluster);
    CHECK(group.leader().name() == ahead);
    CHECK(WritesSoon(cluster) > 5);
    CHECK(group.promotions() == 1);
    cluster.RunFor(std::chrono::seconds(4));
    const Duration used = cluster.checker().longest_use_while_leaving();
    CHECK(used > std::chrono::seconds(5));
    CHECK(used < std::chrono::seconds(7));
    CHECK(FirstViolation(cluster) == "");
  }

  SUBCASE("waits for a replica that crashes once it has been chosen") {
    cluster.CrashTarget(primary, kForGood);
    RunUntilChoice(cluster);
    cluster.CrashTarget(ahead, std::chrono::milliseconds(2500));

    SUBCASE("so that the order is refused") {}
    SUBCASE("and whose promotion another proxy has taken over") {
      cluster.KillNode(Coordinator(cluster), std::chrono::seconds(1));
    }
    cluster.RunFor(std::chrono::milliseconds(2400));
    CHECK(group.promotions() == 0);
    cluster.RunFor(std::chrono::milliseconds(7500));
    CHECK(group.leader().name() == ahead);
    CHECK(WritesSoon(cluster) > 20);
    CHECK(FirstViolation(cluster) == "");
  }

  SUBCASE("uses the old primary again when it returns before the report") {
    cluster.FailStatus(ahead, EmulatedStatusFault::kSilent, kForGood);
    cluster.CrashTarget(primary, std::chrono::milliseconds(3000));
    cluster.RunFor(std::chrono::milliseconds(5500));
    CHECK(group.promotions() == 0);
    CHECK(NewestRecord(cluster).state == PrimaryState::kServing);
    CHECK(WritesSoon(cluster) > 20);
    CHECK(FirstViolation(cluster) == "");
  }

  // Guards against the end of an empty log that is taken for the end of the old
  // primary's.
  SUBCASE("does not use an old primary that returns without its log") {
    for (const TargetName& replica : {ahead, behind})
      cluster.FailStatus(replica, EmulatedStatusFault::kSilent,
                         std::chrono::seconds(6));
    cluster.CrashTarget(primary, kForGood);
    cluster.RunFor(std::chrono::seconds(2));
    group.Find(primary)->StartEmpty();
    RunUntilPromotion(cluster);
    CHECK(group.leader().name() == ahead);
    CHECK(FirstViolation(cluster) == "");
  }

  SUBCASE("lets another proxy wait when the coordinator is lost") {
    cluster.FailStatus(ahead, EmulatedStatusFault::kSilent,
                       std::chrono::milliseconds(8000));
    cluster.CrashTarget(primary, kForGood);
    cluster.RunFor(std::chrono::milliseconds(3000));
    cluster.KillNode(Coordinator(cluster), std::chrono::seconds(1));
    cluster.RunFor(std::chrono::milliseconds(4500));
    CHECK(group.promotions() == 0);
    cluster.RunFor(std::chrono::milliseconds(4500));
    CHECK(group.leader().name() == ahead);
    CHECK(WritesSoon(cluster) > 20);
    CHECK(FirstViolation(cluster) == "");
  }

  // Guards against a recovered record that names the old primary because the
  // report of the new one is missing.
  SUBCASE("keeps the new primary after a restore that lost its record") {
    cluster.CrashTarget(primary, std::chrono::seconds(8));
    RunUntilPromotion(cluster);
    cluster.RunFor(std::chrono::seconds(2));
    // The old primary returns and does not hear of the new one.
    group.PauseReplication();
    cluster.RunFor(std::chrono::seconds(7));
    cluster.FailStatus(ahead, EmulatedStatusFault::kSilent,
                       std::chrono::seconds(6));
    cluster.LosePowerOfAllNodes(std::chrono::milliseconds(500));
    cluster.RestoreStore(std::chrono::seconds(11), Duration(0));
    cluster.RunFor(std::chrono::seconds(9));
    group.ResumeReplication();
    cluster.RunFor(std::chrono::seconds(5));
    CHECK(group.leader().name() == ahead);
    CHECK(WritesSoon(cluster) > 20);
    CHECK(FirstViolation(cluster) == "");
  }

  SUBCASE("hands over from a leaving primary") {
    SUBCASE("to a replica that is far behind") {
      group.SetLag(ahead, std::chrono::milliseconds(1500));
      group.SetLag(behind, std::chrono::milliseconds(1900));
      cluster.RunFor(std::chrono::seconds(2));
    }
    SUBCASE("though a replica does not report") {
      cluster.FailStatus(ahead, EmulatedStatusFault::kSilent,
                         std::chrono::milliseconds(2000));
    }
    SUBCASE("while a replica leaves too") {
      cluster.ReleaseTarget(ahead);
    }
    cluster.ReleaseTarget(primary);
    cluster.RunFor(std::chrono::seconds(6));
    CHECK(group.leader().name() != primary);
    CHECK(FirstViolation(cluster) == "");
    cluster.RunFor(std::chrono::seconds(10));
    CHECK(WritesSoon(cluster) > 5);
    CHECK(FirstViolation(cluster) == "");
  }
}

// Guards against a coordinator that waits for a report of one group and keeps
// the proxies of other groups from replacing their primaries.
TEST_CASE("emulated group that waits for a replica beside another group") {
  EmulatedCluster::Options options = SynchronousOptions();
  options.nodes = 60;
  options.groups = 6;
  EmulatedCluster cluster(options);
  cluster.Start();
  cluster.RunFor(std::chrono::seconds(8));
  EmulatedGroup& waiting = cluster.group(0);
  for (const auto& target : waiting.targets())
    cluster.FailStatus(target->name(), EmulatedStatusFault::kSilent, kForGood);
  cluster.CrashTarget(waiting.leader().name(), kForGood);
  cluster.RunFor(std::chrono::seconds(4));
  for (size_t index = 1; index < options.groups; ++index)
    cluster.CrashTarget(cluster.group(index).leader().name(), kForGood);
  cluster.RunFor(std::chrono::seconds(25));
  CHECK(waiting.promotions() == 0);
  for (size_t index = 1; index < options.groups; ++index)
    CHECK(cluster.group(index).promotions() > 0);
  CHECK(FirstViolation(cluster) == "");
}

TEST_CASE("emulated groups with synchronous replicas under random faults") {
  for (const uint64_t seed : {21, 22, 23, 24, 25, 26, 27, 28}) {
    CAPTURE(seed);
    const size_t nodes = seed > 26 ? 20 : 5;
    const RandomFaultReport report = RunRandomFaults({seed, 14, nodes, 0, 1});
    for (const std::string& violation : report.violations)
      FAIL_CHECK(violation);
    CHECK(report.writes_after_healing > 30);
  }
}

TEST_CASE("emulated synchronous groups while the store is restored") {
  for (const uint64_t seed : {31, 32, 33, 34}) {
    CAPTURE(seed);
    const RandomFaultReport report = RunRandomFaults({seed, 14, 5, 2, 1});
    for (const std::string& violation : report.violations)
      FAIL_CHECK(violation);
    CHECK(report.writes_after_healing > 30);
  }
}

}  // namespace kingcupmill
