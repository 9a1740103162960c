#include "LibProxy/proxy_core.h"

#include <doctest/doctest.h>

#include <optional>

#include "LibLab/virtual_world.h"

namespace kingcupmill {

namespace {

// Asks a proxy what became of a request and waits for the answer.
std::optional<Outcome> AskFate(VirtualWorld& world,
                               VirtualWorld::Proxy& proxy,
                               const char* group) {
  ClientRequest request;
  request.operation = ClientOperation::kGetOutcome;
  request.application = ApplicationName{"shop-orders"};
  request.group = GroupName{group};
  request.request_id = RequestId{"shop-orders:earlier"};
  request.time_left = Milliseconds(500);
  std::optional<Outcome> outcome;
  proxy.core->Handle(std::move(request), [&](const ClientAnswer& answer) {
    outcome = answer.outcome;
  });
  world.scheduler().RunFor(std::chrono::seconds(2));
  return outcome;
}

}  // namespace

TEST_CASE("A proxy never guesses the fate of a request") {
  const char* const group = "restock-1";
  VirtualWorld world{VirtualWorld::Options{}};
  world.scheduler().RunFor(std::chrono::seconds(3));

  SUBCASE("a request that never came is settled as not run") {
    for (auto& proxy : world.proxies())
      CHECK(AskFate(world, *proxy, group) == Outcome::kNotRun);
  }
  SUBCASE("cut off from targets and homes, it does not know") {
    for (auto& proxy : world.proxies()) {
      world.network().CutNode(proxy->vm.value);
      CHECK(AskFate(world, *proxy, group) == Outcome::kUnknown);
      world.network().HealAll();
    }
  }
  SUBCASE("refusing the question says nothing about the request") {
    for (auto& proxy : world.proxies())
      CHECK(AskFate(world, *proxy, "nowhere") == Outcome::kUnknown);
  }
}

}  // namespace kingcupmill
