#include "LibUsage/usage_service.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "LibEmulator/usage_fleet.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kCustomer = "acme";

// Eighty proxies in four zones; the callers of one customer are connected to
// some of them and demand the usual share of its limit.
struct Fleet : UsageFleet {
  Fleet(double rate, size_t callers_on, uint64_t seed)
      : UsageFleet(80, 4, seed), limit{rate, rate} {
    this->SetLimit(kCustomer, this->limit);
    for (size_t proxy = 0; proxy < callers_on; ++proxy)
      this->callers.push_back(proxy);
    this->SpreadDemand(kCustomer, this->callers, this->usual());
    this->RunFor(seconds(15));
    this->ClearTotals();
  }
  double usual() const { return this->limit.rate * 0.625; }

  UsageLimit limit;
  std::vector<size_t> callers;
};

struct Outcome {
  double refused_share = 0;
  double admitted_per_second = 0;
  uint64_t maximum = 0;
};

// Runs `scenario` on fleets with different seeds, and checks the bound in each.
// The outcome is the average; small customers need many operations for it.
Outcome Measure(const char* name,
                double rate,
                size_t callers_on,
                const std::function<void(Fleet&)>& scenario) {
  const int runs = rate < 10 ? 12 : rate < 100 ? 4 : 1;
  Outcome outcome;
  UsageFleet::Totals totals;
  Duration elapsed{};
  for (int seed = 1; seed <= runs; ++seed) {
    Fleet fleet(rate, callers_on, static_cast<uint64_t>(seed));
    const TimePoint start = fleet.now();
    scenario(fleet);
    elapsed += fleet.now() - start;
    totals.offered += fleet.totals(kCustomer).offered;
    totals.refused += fleet.totals(kCustomer).refused;
    totals.admitted += fleet.totals(kCustomer).admitted;
    outcome.maximum =
        std::max(outcome.maximum, fleet.MaximumInWindow(kCustomer));
    CHECK(fleet.MaximumInWindow(kCustomer) <= UsageFleet::Bound(fleet.limit));
  }
  outcome.refused_share = totals.refused_share();
  outcome.admitted_per_second = static_cast<double>(totals.admitted) /
                                std::chrono::duration<double>(elapsed).count();
  MESSAGE(std::string(name)
          << ": rate " << rate << " on " << callers_on << " refused "
          << outcome.refused_share << " admitted/s "
          << outcome.admitted_per_second << " window " << outcome.maximum
          << " of " << UsageFleet::Bound(UsageLimit{rate, rate}));
  return outcome;
}

struct Size {
  double rate;
  size_t callers_on;
};
// Small customers have callers at few proxies, or at any of them.
constexpr Size kSizes[] = {{3, 4}, {3, 80}, {30, 16}, {30, 80}, {300, 80}};

}  // namespace

TEST_CASE("usage limits over all proxies") {
  SUBCASE("a usual demand loses nothing worth mentioning") {
    for (const auto& [rate, callers_on] : kSizes) {
      const Outcome outcome =
          Measure("calm", rate, callers_on,
                  [](Fleet& fleet) { fleet.RunFor(seconds(60)); });
      CHECK(outcome.refused_share < 0.01);
    }
  }

  SUBCASE("a hot customer gets its rate and no more than the bound") {
    for (const auto& [rate, callers_on] : kSizes) {
      const Outcome outcome =
          Measure("hot", rate, callers_on, [](Fleet& fleet) {
            fleet.SpreadDemand(kCustomer, fleet.callers, fleet.usual() * 7.5);
            fleet.RunFor(seconds(20));
          });
      CHECK(outcome.admitted_per_second > rate * 0.85);
      CHECK(outcome.admitted_per_second < rate * 1.15 + 1);
    }
  }

  SUBCASE("callers that move to another zone keep their rate") {
    for (const double rate : {3.0, 30.0, 300.0}) {
      const Outcome outcome = Measure("moved", rate, 80, [](Fleet& fleet) {
        fleet.SpreadDemand(kCustomer, fleet.ProxiesOf(0), fleet.usual());
        fleet.RunFor(seconds(12));
        fleet.ClearTotals();
        fleet.SpreadDemand(kCustomer, fleet.ProxiesOf(1), fleet.usual());
        fleet.RunFor(seconds(12));
      });
      CHECK(outcome.refused_share < 0.03);
    }
  }

  SUBCASE("both sides of a cut go on at their usual rate") {
    for (const auto& [rate, callers_on] : kSizes) {
      Measure("cut", rate, callers_on, [](Fleet& fleet) {
        const auto zone = fleet.ProxiesOf(2);
        fleet.Cut({zone.begin(), zone.end()}, seconds(6));
        fleet.RunFor(seconds(6));
      });
      Measure("cut and after", rate, callers_on, [](Fleet& fleet) {
        const auto zone = fleet.ProxiesOf(2);
        fleet.Cut({zone.begin(), zone.end()}, seconds(6));
        fleet.RunFor(seconds(16));
      });
    }
  }

  SUBCASE("the zone of the holder is cut off") {
    for (const auto& [rate, callers_on] : kSizes)
      Measure("holder's zone cut", rate, callers_on, [](Fleet& fleet) {
        const auto zone =
            fleet.ProxiesOf(fleet.ZoneOf(fleet.HolderOf(kCustomer)));
        fleet.Cut({zone.begin(), zone.end()}, seconds(6));
        fleet.RunFor(seconds(12));
      });
  }

  SUBCASE("the holder is killed") {
    for (const auto& [rate, callers_on] : kSizes)
      Measure("holder killed", rate, callers_on, [](Fleet& fleet) {
        fleet.Kill(fleet.HolderOf(kCustomer), std::nullopt);
        fleet.RunFor(seconds(20));
      });
  }

  SUBCASE("the holder is frozen and back") {
    for (const auto& [rate, callers_on] : kSizes)
      Measure("holder frozen", rate, callers_on, [](Fleet& fleet) {
        fleet.Freeze(fleet.HolderOf(kCustomer), milliseconds(3500));
        fleet.RunFor(seconds(10));
      });
  }

  SUBCASE("the holder is cut off alone") {
    for (const auto& [rate, callers_on] : kSizes)
      Measure("holder cut off", rate, callers_on, [](Fleet& fleet) {
        fleet.Cut({fleet.HolderOf(kCustomer)}, seconds(6));
        fleet.RunFor(seconds(12));
      });
  }

  SUBCASE("a proxy is killed after a grant") {
    for (const auto& [rate, callers_on] : kSizes)
      Measure("proxy killed", rate, callers_on, [](Fleet& fleet) {
        fleet.Kill(fleet.callers.front(), seconds(2));
        fleet.RunFor(seconds(15));
      });
  }

  SUBCASE("the whole system restarts") {
    for (const auto& [rate, callers_on] : kSizes) {
      const Outcome outcome =
          Measure("after a restart of all", rate, callers_on, [](Fleet& fleet) {
            for (const size_t proxy : fleet.AllProxies())
              fleet.Kill(proxy, seconds(2));
            fleet.RunFor(seconds(3));
            fleet.ClearTotals();
            fleet.RunFor(seconds(10));
          });
      CHECK(outcome.refused_share < 0.1);
    }
  }

  SUBCASE("all proxies are restarted in turn") {
    for (const auto& [rate, callers_on] : kSizes)
      Measure("rolling restart", rate, callers_on, [](Fleet& fleet) {
        for (size_t proxy = 0; proxy < fleet.size(); ++proxy) {
          fleet.Restart(proxy, seconds(2));
          fleet.RunFor(milliseconds(800));
        }
      });
  }
}

}  // namespace kingcupmill
