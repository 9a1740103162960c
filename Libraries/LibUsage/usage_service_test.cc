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
  const int runs = rate < 10 ? 6 : rate < 100 ? 2 : 1;
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

TEST_CASE("a lowered usage limit") {
  const UsageLimit lowered{30, 30};
  const auto check = [&lowered](Fleet& fleet) {
    fleet.SpreadDemand(kCustomer, fleet.callers, 1500);
    fleet.RunFor(seconds(3));
    fleet.SetLimit(kCustomer, lowered, seconds(4));
    fleet.RunFor(seconds(5));
    fleet.ClearAdmitted();
    fleet.RunFor(seconds(12));
    CHECK(fleet.MaximumInWindow(kCustomer) <= UsageFleet::Bound(lowered));
  };
  SUBCASE("is in force five seconds after it is declared") {
    Fleet fleet(300, 80, 1);
    check(fleet);
  }

  SUBCASE("is in force while a zone is cut off") {
    Fleet fleet(300, 80, 1);
    const auto zone = fleet.ProxiesOf(1);
    fleet.Cut({zone.begin(), zone.end()}, seconds(6));
    check(fleet);
  }
}

TEST_CASE("a thousand customers with one operation a minute") {
  // Small and rarely active customers must not cost a stream of messages.
  UsageFleet fleet(80, 4, 1);
  std::vector<std::string> names;
  for (size_t number = 0; number < 1000; ++number)
    names.push_back("customer-" + std::to_string(number));
  for (size_t number = 0; number < names.size(); ++number) {
    fleet.AddLimit(names[number], UsageLimit{1.6 / 60, 1.6 / 60});
    fleet.SetDemand(names[number], number % fleet.size(), 1.0 / 60);
  }
  fleet.ApplyLimits();
  fleet.RunFor(seconds(10));
  const uint64_t messages = fleet.messages();
  fleet.ClearTotals();
  fleet.RunFor(seconds(60));
  UsageFleet::Totals all;
  for (const std::string& name : names) {
    all.offered += fleet.totals(name).offered;
    all.refused += fleet.totals(name).refused;
    CHECK(fleet.MaximumInWindow(name) <=
          UsageFleet::Bound(UsageLimit{1.6 / 60, 1.6 / 60}));
  }
  const auto per_operation = static_cast<double>(fleet.messages() - messages) /
                             static_cast<double>(all.offered);
  MESSAGE(std::string("a thousand customers: refused ")
          << all.refused_share() << " messages an operation " << per_operation);
  CHECK(per_operation < 16);
}

TEST_CASE("the bound of a usage limit holds under any faults") {
  CHECK(rc::check([] {
    const double rate = *rc::gen::element(2.0, 10.0, 40.0, 150.0);
    const double burst = rate * *rc::gen::element(0.0, 0.25, 1.0, 2.0);
    const auto size = *rc::gen::inRange<size_t>(3, 25);
    const UsageLimit limit{rate, burst};
    UsageFleet fleet(size, 3, *rc::gen::arbitrary<uint32_t>());
    fleet.SetLimit(kCustomer, limit);
    const auto spread = [&] {
      const auto zone = *rc::gen::inRange<size_t>(0, 5);
      const double factor = *rc::gen::element(0.0, 0.3, 0.625, 1.0, 4.7);
      const auto on = zone < 3 ? fleet.ProxiesOf(zone) : fleet.AllProxies();
      fleet.SpreadDemand(kCustomer, on, rate * factor);
    };
    spread();
    fleet.RunFor(seconds(10));
    const auto steps = *rc::gen::inRange<int>(1, 10);
    for (int step = 0; step < steps; ++step) {
      const auto proxy = *rc::gen::inRange<size_t>(0, size);
      switch (*rc::gen::inRange<int>(0, 7)) {
        case 0: {
          const auto zone = fleet.ProxiesOf(proxy % 3);
          fleet.Cut({zone.begin(), zone.end()}, seconds(6));
          break;
        }
        case 1:
          fleet.Cut({proxy}, seconds(6));
          break;
        case 2:
          fleet.Kill(proxy, milliseconds(*rc::gen::inRange(200, 6000)));
          break;
        case 3:
          fleet.Kill(fleet.HolderOf(kCustomer),
                     milliseconds(*rc::gen::inRange(200, 6000)));
          break;
        case 4:
          fleet.Freeze(proxy, milliseconds(3500));
          break;
        case 5:
          fleet.Freeze(fleet.HolderOf(kCustomer), milliseconds(3500));
          break;
        default:
          spread();
      }
      fleet.RunFor(milliseconds(*rc::gen::inRange(0, 4000)));
    }
    fleet.RunFor(seconds(6));
    const uint64_t maximum = fleet.MaximumInWindow(kCustomer);
    RC_LOG() << "rate " << rate << " burst " << burst << " window " << maximum
             << " bound " << UsageFleet::Bound(limit) << "\n";
    RC_ASSERT(maximum <= UsageFleet::Bound(limit));
  }));
}

}  // namespace kingcupmill
