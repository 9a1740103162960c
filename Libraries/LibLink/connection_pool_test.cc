#include "LibLink/connection_pool.h"

#include <doctest/doctest.h>

#include "LibCore/virtual_scheduler.h"
#include "LibLink/fake_dialer.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("pooled connections to one target") {
  VirtualScheduler scheduler;
  scheduler.RunFor(seconds(100));
  FakeDialer own_dialer(scheduler);
  FakeDialer borrowed_dialer(scheduler);
  ConnectionPool::Events events;
  events.did_become_free = [] {};
  events.did_open = [](std::optional<LogPoint>, TimePoint) {};
  events.did_fail = [](ConnectionFailure) {};
  ConnectionPool pool(scheduler, TargetDialers{own_dialer, borrowed_dialer},
                      TargetEndpoint{}, events);
  pool.SetLimit(3);
  REQUIRE(pool.Open({}));
  REQUIRE(pool.Open({}));
  REQUIRE(pool.Open({}));
  CHECK_FALSE(pool.Open({}));
  scheduler.RunFor(milliseconds(20));
  REQUIRE(pool.open_count() == 3);

  const auto use = [&](const std::shared_ptr<PooledConnection>& connection) {
    connection->Reset(seconds(1), [](const auto&) {});
    scheduler.RunFor(milliseconds(2));
    pool.Release(connection);
  };

  SUBCASE("never exceed the limit") {
    CHECK_FALSE(pool.Open({}));
    CHECK(own_dialer.dial_count == 3);
  }

  SUBCASE("are used by one request at a time") {
    const auto first = pool.Acquire({}, SessionContext());
    const auto second = pool.Acquire({}, SessionContext());
    CHECK(first != second);
    CHECK(pool.in_use_count() == 2);
    pool.Release(first);
    pool.Release(second);
    CHECK(pool.in_use_count() == 0);
  }

  SUBCASE("can be replaced after one is closed") {
    const auto connection = pool.Acquire({}, SessionContext());
    connection->Close();
    pool.Release(connection);
    CHECK(pool.open_count() == 2);
    CHECK(pool.Open({}));
  }

  SUBCASE("are reused starting with the one that answered last") {
    scheduler.RunFor(seconds(1));
    const auto connection = pool.Acquire({}, SessionContext());
    use(connection);
    CHECK(pool.Acquire({}, SessionContext()) == connection);
    pool.Release(connection);
  }
}

}  // namespace kingcupmill
