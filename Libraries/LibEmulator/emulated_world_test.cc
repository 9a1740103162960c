#include "LibEmulator/emulated_world.h"

#include <doctest/doctest.h>

#include "LibEmulator/emulated_day.h"

namespace kingcupmill {

namespace {

std::string FirstViolation(EmulatedWorld& world) {
  const auto& violations = world.checker().violations();
  return violations.empty() ? "" : violations.front();
}

EmulatedWorld::Options OptionsFor(uint64_t seed) {
  EmulatedWorld::Options options;
  options.seed = seed;
  options.groups = 2;
  return options;
}

}  // namespace

TEST_CASE("proxies before targets on virtual time") {
  EmulatedWorld world(OptionsFor(7));
  world.Start();

  SUBCASE("serve every statement on a calm day") {
    world.RunFor(std::chrono::seconds(20));
    const auto counts = world.TotalCounts();
    CHECK(counts.sent > 2000);
    CHECK(counts.writes_succeeded > 200);
    CHECK(counts.refused * 50 < counts.sent);
    CHECK(FirstViolation(world) == "");

    SUBCASE("within the connections that a target takes") {
      for (const auto& target : world.group(0).targets())
        CHECK(target->most_sessions() <= EmulatedTarget::kMaximumSessions);
    }
  }

  SUBCASE("serve again soon after all of them lost power") {
    world.RunFor(std::chrono::seconds(4));
    world.LosePowerOfAll(std::chrono::milliseconds(1200));
    world.RunFor(std::chrono::milliseconds(2200));
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(1));
    CHECK(world.TotalCounts().writes_succeeded > before + 10);
    CHECK(FirstViolation(world) == "");
    world.RunFor(std::chrono::seconds(4));
    for (size_t index = 0; index < 2; ++index) {
      for (const auto& target : world.group(index).targets())
        CHECK(target->refused_sessions() == 0);
    }
  }

  SUBCASE("replace a primary that crashes") {
    world.RunFor(std::chrono::seconds(2));
    const TargetName lost = world.group(0).leader().name();
    world.CrashTarget(lost, std::chrono::seconds(30));
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.group(0).leader().name() != lost);

    SUBCASE("and acknowledge writes at the new one") {
      const auto before = world.TotalCounts().writes_succeeded;
      world.RunFor(std::chrono::seconds(3));
      CHECK(world.TotalCounts().writes_succeeded > before + 20);
      CHECK(FirstViolation(world) == "");
    }
  }

  SUBCASE("hand over from a primary that leaves, and lose no commit") {
    world.RunFor(std::chrono::seconds(2));
    const TargetName leaving = world.group(0).leader().name();
    world.ReleaseTarget(leaving);
    world.RunFor(std::chrono::seconds(5));
    CHECK(world.group(0).leader().name() != leaving);
    CHECK(FirstViolation(world) == "");

    SUBCASE("and give it no new work soon after") {
      world.RunFor(std::chrono::seconds(3));
      CHECK(world.checker().longest_use_of_leaving() <
            std::chrono::milliseconds(2500));
    }
  }

  SUBCASE("give no new work to a replica that leaves") {
    world.RunFor(std::chrono::seconds(2));
    const TargetName primary = world.group(0).leader().name();
    for (const auto& target : world.group(0).targets()) {
      if (target->name() != primary)
        world.ReleaseTarget(target->name());
    }
    world.RunFor(std::chrono::seconds(8));
    CHECK(world.checker().longest_use_of_leaving() <
          std::chrono::milliseconds(2500));
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("do not replace a primary for one proxy that is cut off from it") {
    world.RunFor(std::chrono::seconds(2));
    world.CutNodeFromTarget(1, world.group(0).leader().name());
    world.RunFor(std::chrono::seconds(8));
    CHECK(world.group(0).promotions() == 0);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("go on through an outage of the store") {
    world.RunFor(std::chrono::seconds(2));
    for (size_t index = 0; index < 5; ++index)
      world.FailStore(index, EmulatedStoreAccess::Fault::kSilent,
                      std::chrono::seconds(4));
    const auto before = world.TotalCounts();
    world.RunFor(std::chrono::seconds(4));
    const auto after = world.TotalCounts();
    CHECK(after.writes_succeeded > before.writes_succeeded + 40);
    CHECK(after.refused - before.refused < 20);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("end a hand-over though the store turns its proxy away") {
    world.RunFor(std::chrono::seconds(2));
    const TargetName lost = world.group(0).leader().name();
    world.CrashTarget(lost, std::chrono::seconds(30));
    size_t holder = 5;
    for (int step = 0; step < 200 && holder == 5; ++step) {
      world.RunFor(std::chrono::milliseconds(10));
      const CoordinatorRecord& coordinator =
          world.node(0).gateway()->coordination_view().coordinator();
      for (size_t index = 0; index < 5; ++index) {
        if (coordinator.is_held &&
            coordinator.holder.value == "vm-" + world.node(index).address())
          holder = index;
      }
    }
    REQUIRE(holder < 5);
    world.FailStore(holder, EmulatedStoreAccess::Fault::kRefuses,
                    std::chrono::seconds(9));
    world.RunFor(std::chrono::milliseconds(1500));
    const size_t other = (holder + 1) % 5;
    const PrimaryRecord* record =
        world.node(other).gateway()->primary_leases().Find(
            world.group(0).name());
    CHECK(record->primary != lost);
    CHECK(record->state == PrimaryState::kServing);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("are stopped in turn and cut no statement") {
    world.RunFor(std::chrono::seconds(2));
    const auto before = world.TotalCounts();
    for (size_t index = 0; index < 5; ++index) {
      world.StopNode(index, std::chrono::milliseconds(500));
      world.RunFor(std::chrono::milliseconds(3500));
    }
    world.RunFor(std::chrono::seconds(6));
    const auto after = world.TotalCounts();
    CHECK(after.sent > before.sent + 1000);
    CHECK(FirstViolation(world) == "");
    for (size_t index = 0; index < 5; ++index)
      CHECK(world.node(index).gateway()->is_ready());
  }

  SUBCASE("are stopped while targets are slow and cut no statement") {
    world.RunFor(std::chrono::seconds(2));
    for (size_t index = 0; index < 2; ++index) {
      for (const auto& target : world.group(index).targets())
        target->SetSlowdown(60);
    }
    for (size_t index = 0; index < 5; index += 2)
      world.StopNode(index, std::chrono::milliseconds(500));
    world.RunFor(std::chrono::seconds(9));
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("are stopped while the store is away and cut no statement") {
    world.RunFor(std::chrono::seconds(2));
    for (size_t index = 0; index < 5; ++index)
      world.FailStore(index, EmulatedStoreAccess::Fault::kSilent,
                      std::chrono::seconds(6));
    world.StopNode(0, std::chrono::milliseconds(500));
    world.StopNode(1, std::chrono::milliseconds(500));
    world.RunFor(std::chrono::seconds(9));
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE(
      "let the successor of a proxy that ordered a promotion go on with "
      "the same target") {
    world.RunFor(std::chrono::seconds(2));
    const TargetName lost = world.group(0).leader().name();
    world.CrashTarget(lost, std::chrono::seconds(30));
    // All processes end while the order takes effect.
    world.RunFor(std::chrono::milliseconds(950));
    for (size_t index = 0; index < 5; ++index)
      world.KillNode(index, std::chrono::seconds(1));
    world.RunFor(std::chrono::seconds(12));
    CHECK(world.group(0).leader().name() != lost);
    CHECK(FirstViolation(world) == "");
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(2));
    CHECK(world.TotalCounts().writes_succeeded > before + 10);
  }
}

TEST_CASE("more proxies than a target takes connections") {
  EmulatedWorld::Options options = OptionsFor(11);
  options.nodes = 20;
  EmulatedWorld world(options);
  world.Start();

  SUBCASE("serve every statement on a calm day, few of them as homes") {
    world.RunFor(std::chrono::seconds(10));
    const auto counts = world.TotalCounts();
    CHECK(counts.sent > 1000);
    CHECK(counts.refused * 50 < counts.sent);
    CHECK(FirstViolation(world) == "");
    size_t roles = 0;
    for (size_t index = 0; index < options.nodes; ++index)
      roles += world.node(index).gateway()->home_count();
    // One home in each of three places, for each of two groups.
    CHECK(roles == 6);
    for (const auto& target : world.group(0).targets())
      CHECK(target->most_sessions() <= EmulatedTarget::kMaximumSessions);
  }

  SUBCASE("serve again soon after all of them lost power") {
    world.RunFor(std::chrono::seconds(4));
    world.LosePowerOfAll(std::chrono::milliseconds(1200));
    world.RunFor(std::chrono::milliseconds(2200));
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(1));
    CHECK(world.TotalCounts().writes_succeeded > before + 10);
    CHECK(FirstViolation(world) == "");
    world.RunFor(std::chrono::seconds(4));
    for (size_t index = 0; index < 2; ++index) {
      for (const auto& target : world.group(index).targets())
        CHECK(target->refused_sessions() == 0);
    }
  }

  SUBCASE("cut no statement when homes and others stop, also at once") {
    world.RunFor(std::chrono::seconds(2));
    for (size_t index = 0; index < options.nodes; ++index) {
      world.StopNode(index, std::chrono::milliseconds(500));
      if (index % 2 == 1)
        world.RunFor(std::chrono::milliseconds(1300));
    }
    world.RunFor(std::chrono::seconds(8));
    CHECK(FirstViolation(world) == "");
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.TotalCounts().writes_succeeded > before + 20);
  }

  SUBCASE("go on when homes are lost") {
    world.RunFor(std::chrono::seconds(2));
    for (size_t index = 0; index < options.nodes; ++index) {
      if (world.node(index).gateway()->home_count() > 0)
        world.KillNode(index, std::chrono::seconds(60));
    }
    world.RunFor(std::chrono::seconds(25));
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.TotalCounts().writes_succeeded > before + 20);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("replace a primary that crashes") {
    world.RunFor(std::chrono::seconds(2));
    const TargetName lost = world.group(0).leader().name();
    world.CrashTarget(lost, std::chrono::seconds(30));
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.group(0).leader().name() != lost);
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.TotalCounts().writes_succeeded > before + 20);
    CHECK(FirstViolation(world) == "");
  }
}

TEST_CASE("a hundred proxies before two groups") {
  EmulatedWorld::Options options = OptionsFor(3);
  options.nodes = 100;
  EmulatedWorld world(options);
  world.Start();
  world.RunFor(std::chrono::seconds(6));
  const size_t copies = EmulatedTraffic::KindOf<StoreCopyQuery>();

  SUBCASE("spend on control what does not grow with their number") {
    world.traffic().Clear();
    world.RunFor(std::chrono::seconds(20));
    // A reader of the store answers 16 followers each 1.8 s.
    CHECK(world.traffic().Most(copies).messages <= 20 * 16);
    // The bound of docs/CAPACITY.md: 10 KB a second.
    CHECK(world.traffic().MostForControl().bytes < 20 * 10000);
    // Two readers in each of three places with three long polls of 1.8 s.
    CHECK(world.traffic().store_calls() < 2 * 3 * 3 * 20 / 1.8 + 20);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("send a change to followers, not the whole table") {
    world.traffic().Clear();
    // A restart of each third proxy within ten seconds writes and removes rows.
    for (size_t index = 0; index < options.nodes; index += 3) {
      world.StopNode(index, std::chrono::milliseconds(500));
      world.RunFor(std::chrono::milliseconds(300));
    }
    world.RunFor(std::chrono::seconds(10));
    // A row has some 200 bytes and changes three times in a restart: its end,
    // its start and its roles. Each change goes to 16 followers of a reader,
    // and who starts gets 100 rows whole.
    const uint64_t rows = uint64_t{34} * 3 * 200 * 16;
    const uint64_t whole = uint64_t{34} * 100 * 200;
    const uint64_t frames = uint64_t{20} * 16 * 250;
    CHECK(world.traffic().Most(copies).bytes < rows + whole + frames);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("have each configuration in force within a second, never back") {
    std::vector<Revision> seen(options.nodes);
    for (int change = 0; change < 8; ++change) {
      world.ChangeConfiguration();
      world.RunFor(std::chrono::milliseconds(400));
      for (size_t index = 0; index < options.nodes; ++index) {
        const Revision now = world.node(index).gateway()->revision();
        CHECK(now >= seen[index]);
        seen[index] = now;
      }
    }
    world.RunFor(std::chrono::milliseconds(600));
    for (size_t index = 0; index < options.nodes; ++index)
      CHECK(world.node(index).gateway()->revision() ==
            world.node(0).gateway()->revision());
    CHECK(world.node(0).gateway()->revision() > Revision{8});

    SUBCASE("also where the store turns the readers away") {
      for (size_t index = 0; index < options.nodes; index += 3)
        world.FailStore(index, EmulatedStoreAccess::Fault::kRefuses,
                        std::chrono::seconds(9));
      world.RunFor(std::chrono::seconds(1));
      world.ChangeConfiguration();
      // The bound of a site of this size.
      world.RunFor(std::chrono::seconds(5));
      for (size_t index = 0; index < options.nodes; ++index)
        CHECK(world.node(index).gateway()->revision() ==
              world.node(1).gateway()->revision());
      CHECK(world.node(1).gateway()->revision() > Revision{9});
    }
  }

  SUBCASE("serve again soon after all of them lost power") {
    world.LosePowerOfAll(std::chrono::milliseconds(1200));
    world.RunFor(std::chrono::milliseconds(2400));
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(1));
    CHECK(world.TotalCounts().writes_succeeded > before + 10);
    CHECK(FirstViolation(world) == "");
  }
}

TEST_CASE("a hundred proxies that start before configuration and targets") {
  EmulatedWorld::Options options = OptionsFor(4);
  options.nodes = 100;
  options.groups = 10;
  options.callers = 30;
  options.starts_before_targets = true;
  EmulatedWorld world(options);
  world.Start();
  // Each proxy reads three tables, writes its row, and follows the tables until
  // it sees its row, some five calls; six readers then make a long poll of 1.8
  // s a table, and one more for each of the 30 targets that register. Homes
  // write a second row.
  const double start = 100 * (3 + 1 + 5);
  const double follow = 6 * (3 * 4 / 1.8 + 30);
  const double homes = 100;
  CHECK(world.traffic().store_calls() < start + follow + homes);
  world.RunFor(std::chrono::seconds(2));
  const auto before = world.TotalCounts();
  world.RunFor(std::chrono::seconds(3));
  const auto after = world.TotalCounts();
  CHECK((after.refused - before.refused) * 50 < after.sent - before.sent);
  CHECK(FirstViolation(world) == "");
}

TEST_CASE("proxies in five places, targets in three of them") {
  EmulatedWorld::Options options = OptionsFor(5);
  options.nodes = 100;
  options.places = 5;
  options.callers = 30;
  options.has_balancer = true;
  EmulatedWorld world(options);
  world.Start();
  world.RunFor(std::chrono::seconds(8));

  SUBCASE("have their homes beside the targets") {
    for (size_t index = 0; index < options.nodes; ++index) {
      if (world.PlaceOf(index) >= 3)
        CHECK(world.node(index).gateway()->home_count() == 0);
    }
  }

  SUBCASE("do without a place that has no target") {
    const auto start = world.TotalCounts();
    world.RunFor(std::chrono::seconds(5));
    const auto calm = world.TotalCounts();
    world.CutPlace(4, std::chrono::milliseconds(5500));
    // A fifth of the callers is at proxies that are cut off, which say that
    // they are not ready after a second and are out of rotation two seconds
    // later.
    world.RunFor(std::chrono::milliseconds(3500));
    const auto before = world.TotalCounts();
    world.RunFor(std::chrono::milliseconds(2000));
    const auto after = world.TotalCounts();
    const auto calm_rate = (calm.succeeded - start.succeeded) / 5;
    CHECK((after.succeeded - before.succeeded) * 10 > calm_rate * 2 * 9);
    CHECK((after.refused - before.refused) * 50 < after.sent - before.sent);
    for (size_t index = 0; index < options.nodes; ++index)
      CHECK(world.node(index).gateway()->is_ready() ==
            (world.PlaceOf(index) != 4));
    world.RunFor(std::chrono::seconds(3));
    for (size_t index = 0; index < options.nodes; ++index)
      CHECK(world.node(index).gateway()->is_ready());
    CHECK(world.group(0).promotions() + world.group(1).promotions() == 0);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("serve the groups whose primary is not in a place that is cut off") {
    const size_t cut = world.group(0).leader().name().value.back() % 3;
    world.CutPlace(cut, std::chrono::milliseconds(5500));
    world.RunFor(std::chrono::milliseconds(9000));
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.TotalCounts().writes_succeeded > before + 60);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("take in as many again that join at once") {
    world.AddNodes(90);
    world.RunFor(std::chrono::seconds(4));
    const auto before = world.TotalCounts();
    world.RunFor(std::chrono::seconds(4));
    const auto after = world.TotalCounts();
    CHECK((after.refused - before.refused) * 50 < after.sent - before.sent);
    for (size_t index = 0; index < 190; ++index)
      CHECK(world.node(index).gateway()->is_ready());
    for (const auto& target : world.group(0).targets())
      CHECK(target->refused_sessions() == 0);
    CHECK(FirstViolation(world) == "");
  }

  SUBCASE("restart in turn while both primaries are released") {
    world.ReleaseTarget(world.group(0).leader().name());
    world.ReleaseTarget(world.group(1).leader().name());
    for (size_t index = 0; index < options.nodes; ++index) {
      world.StopNode(index, std::chrono::milliseconds(300));
      world.RunFor(std::chrono::milliseconds(200));
    }
    world.RunFor(std::chrono::seconds(10));
    CHECK(FirstViolation(world) == "");
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.TotalCounts().writes_succeeded > before + 60);
  }

  SUBCASE("go on when a third of them is cut off from everything for long") {
    for (size_t index = 0; index < options.nodes; index += 3) {
      world.FailStore(index, EmulatedStoreAccess::Fault::kSilent,
                      std::chrono::seconds(12));
      for (size_t other = 0; other < options.nodes; ++other) {
        if (other % 3 != 0)
          world.CutNodes(index, other);
      }
      for (size_t group = 0; group < 2; ++group) {
        for (const auto& target : world.group(group).targets())
          world.CutNodeFromTarget(index, target->name());
      }
    }
    world.RunFor(std::chrono::seconds(12));
    world.HealAll();
    world.RunFor(std::chrono::seconds(6));
    const auto before = world.TotalCounts().writes_succeeded;
    world.RunFor(std::chrono::seconds(3));
    CHECK(world.TotalCounts().writes_succeeded > before + 60);
    CHECK(world.group(0).promotions() + world.group(1).promotions() == 0);
    CHECK(FirstViolation(world) == "");
  }
}

TEST_CASE("no promise is broken under random faults") {
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
    CAPTURE(seed);
    const size_t nodes = seed > 8 ? 20 : 5;
    const EmulatedDayReport report = PlayEmulatedDay({seed, 12, nodes});
    CHECK(report.violations == std::vector<std::string>());
    // What is healed is served again.
    CHECK(report.writes_after_healing > 30);
  }
}

}  // namespace kingcupmill
