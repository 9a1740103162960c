#include "LibLab/chaos_run.h"

#include <doctest/doctest.h>

namespace kingcupmill {

TEST_CASE("Whole proxies violate no guarantee under random faults") {
  constexpr uint64_t kSeeds = 12;
  constexpr uint64_t kSteps = 1500;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ChaosRun::Options options;
    options.seed = seed;
    options.steps = kSteps;
    CAPTURE(seed);
    ChaosRun run(options);
    const ChaosReport report = run.Run();
    CHECK(report.requests.ran > 0);
    CHECK(report.violations.total() == 0);
    CHECK(report.revision_violations == 0);
    CHECK(report.unrecovered == 0);
  }
}

TEST_CASE("Two chaos runs with the same seed have the same result") {
  const auto run_once = [] {
    ChaosRun::Options options;
    options.seed = 99;
    options.steps = 600;
    ChaosRun run(options);
    return run.Run();
  };
  const ChaosReport first = run_once();
  const ChaosReport second = run_once();
  CHECK(first.requests.sent == second.requests.sent);
  CHECK(first.requests.ran == second.requests.ran);
  CHECK(first.promotions == second.promotions);
  CHECK(first.faults == second.faults);
}

}  // namespace kingcupmill
