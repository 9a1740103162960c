#include "LibLink/connection_allocator.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Action = ConnectionAllocator::Action;

const CustomerName kWaiting{"waiting"};
const CustomerName kFrequent{"frequent"};
const CustomerName kRare{"rare"};

}  // namespace

TEST_CASE("the customer that gets a connection") {
  ConnectionAllocator allocator;
  TimePoint now{seconds(1000)};
  allocator.SetOpenRate(20);
  for (int turn = 0; turn < 100; ++turn) {
    allocator.DidAcquire(kFrequent, now - milliseconds(50 * (100 - turn)));
    allocator.DidRelease(kFrequent, milliseconds(10));
  }
  for (int turn = 0; turn < 10; ++turn)
    allocator.DidAcquire(kRare, now - seconds(60) * (10 - turn));
  ConnectionAllocator::Situation situation;
  situation.limit = 2;
  situation.count = 2;
  situation.idle = {{kFrequent, now - seconds(10)}, {kRare, now - seconds(10)}};
  situation.customers[kFrequent].idle = 1;
  situation.customers[kRare].idle = 1;
  ConnectionAllocator::Demand demand{kWaiting, now, now + milliseconds(160),
                                     std::nullopt};
  const auto decide = [&] { return allocator.Decide(situation, demand, now); };

  SUBCASE("gets a new one while the limit is not reached") {
    situation.count = 1;
    CHECK(decide().action == Action::kOpen);
  }

  SUBCASE("gets that of the customer that is expected back latest") {
    CHECK(decide().action == Action::kReassign);
    CHECK(decide().victim == 1);
  }

  SUBCASE("does not get one that is needed sooner than it is usable") {
    allocator.DidAcquire(kFrequent, now - milliseconds(1));
    for (int turn = 0; turn < 20; ++turn)
      allocator.DidAcquire(kFrequent, now + milliseconds(5 * turn));
    now += milliseconds(100);
    demand = {kWaiting, now, now + milliseconds(160), std::nullopt};
    situation.idle.pop_back();
    situation.customers.erase(kRare);
    situation.customers[CustomerName{"busy"}].in_use = 1;
    CHECK(decide().action == Action::kWait);

    SUBCASE("until it has waited, since busy customers take turns") {
      now += milliseconds(20);
      CHECK(decide().action == Action::kReassign);
    }
  }

  SUBCASE("waits for its own one if that is free sooner") {
    situation.customers[kWaiting].in_use = 1;
    demand.own_is_free_in = milliseconds(6);
    CHECK(decide().action == Action::kWait);
    demand.own_is_free_in = milliseconds(60);
    CHECK(decide().action == Action::kReassign);
  }

  SUBCASE("gets none that would open after its request is refused") {
    demand.wait_until = now + milliseconds(5);
    CHECK(decide().action == Action::kWait);
  }

  SUBCASE("takes one of several from a customer that needs them all") {
    situation.idle = {{kFrequent, now}};
    situation.customers[kFrequent] = {.in_use = 1, .idle = 1, .waiting = 9};
    situation.customers.erase(kRare);
    CHECK(decide().action == Action::kReassign);

    SUBCASE("but not more than its share") {
      situation.customers[kWaiting].in_use = 1;
      CHECK(decide().action == Action::kWait);
    }
  }

  SUBCASE("gets none beyond the open rate") {
    for (int opened = 0; opened < 5; ++opened) {
      REQUIRE(decide().action == Action::kReassign);
      allocator.DidStartOpening(now);
    }
    CHECK(decide().action == Action::kWait);

    SUBCASE("until that allows the next one") {
      now += milliseconds(70);
      CHECK(decide().action == Action::kReassign);

      SUBCASE("to a customer that has none") {
        situation.customers[kWaiting].in_use = 1;
        CHECK(decide().action == Action::kWait);
      }
    }
  }

  SUBCASE("gets that of a customer that stays away longer than usual") {
    now += seconds(3600);
    demand = {kWaiting, now, now + milliseconds(160), std::nullopt};
    allocator.DidAcquire(kRare, now - milliseconds(10));
    CHECK(decide().victim == 0);
  }
}

}  // namespace kingcupmill
