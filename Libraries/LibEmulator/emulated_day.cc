#include "LibEmulator/emulated_day.h"

#include "LibEmulator/emulated_world.h"

namespace kingcupmill {

namespace {

constexpr Duration kBetweenFaults = std::chrono::milliseconds(1500);
// The longest fault, a lease, and what a hand-over takes.
constexpr Duration kRecovery = std::chrono::seconds(32);
constexpr Duration kCounted = std::chrono::seconds(3);

}  // namespace

EmulatedDayReport PlayEmulatedDay(const EmulatedDayOptions& day) {
  EmulatedWorld::Options options;
  options.seed = day.seed;
  options.nodes = day.nodes;
  options.groups = 2;
  EmulatedWorld world(options);
  world.Start();
  for (int round = 0; round < day.rounds; ++round) {
    world.InjectFault();
    world.RunFor(kBetweenFaults);
  }
  world.HealAll();
  world.RunFor(kRecovery);
  const uint64_t before = world.TotalCounts().writes_succeeded;
  world.RunFor(kCounted);
  EmulatedDayReport report;
  report.writes_after_healing = world.TotalCounts().writes_succeeded - before;
  report.violations = world.checker().violations();
  report.statements = world.TotalCounts().sent;
  for (size_t index = 0; index < options.groups; ++index)
    report.promotions += world.group(index).promotions();
  return report;
}

}  // namespace kingcupmill
