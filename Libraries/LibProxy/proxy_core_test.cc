#include "LibProxy/proxy_core.h"

#include <doctest/doctest.h>

#include <optional>

#include "LibLab/virtual_world.h"

namespace kingcupmill {

namespace {

// Asks a proxy for the outcome of an earlier request that never reached it and
// waits for the answer.
std::optional<Outcome> QueryOutcome(VirtualWorld& world,
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

TEST_CASE("A proxy reports the outcome of a request only if it knows it") {
  const char* const group = "restock-1";
  VirtualWorld world{VirtualWorld::Options{}};
  world.scheduler().RunFor(std::chrono::seconds(3));

  SUBCASE("a request that never arrived is resolved as not run") {
    for (auto& proxy : world.proxies())
      CHECK(QueryOutcome(world, *proxy, group) == Outcome::kNotRun);
  }
  SUBCASE("isolated from targets and homes, it answers unknown") {
    for (auto& proxy : world.proxies()) {
      world.network().IsolateNode(proxy->vm.value);
      CHECK(QueryOutcome(world, *proxy, group) == Outcome::kUnknown);
      world.network().HealAll();
    }
  }
  SUBCASE("a refused outcome query is answered as unknown") {
    for (auto& proxy : world.proxies())
      CHECK(QueryOutcome(world, *proxy, "nowhere") == Outcome::kUnknown);
  }
}

}  // namespace kingcupmill
