#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/virtual_scheduler.h"
#include "LibLink/connection_pool.h"
#include "LibLink/fake_dialer.h"
#include "LibLink/zipf_mix.h"

namespace kingcupmill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A quarter of the time of 4 slots at 12 ms an open, divided by 6 homes.
constexpr double kOpenRate = 13.9;

CustomerName Customer(size_t number) {
  return CustomerName{"customer-" + std::to_string(number)};
}

// A pool whose requests wait in one queue, as in a home of a group.
class PoolLoad {
 public:
  struct Totals {
    size_t arrived = 0;
    size_t served = 0;
    size_t expired = 0;
    Duration longest_wait{};
  };

  explicit PoolLoad(size_t limit, double open_rate = kOpenRate)
      : pool(this->scheduler,
             TargetDialers{this->own_dialer, this->borrowed_dialer},
             TargetEndpoint{},
             this->MakeEvents()) {
    this->pool.SetLimit(limit);
    this->pool.SetOpenRate(open_rate);
  }

  void Arrive(const CustomerName& customer,
              Duration service,
              Duration patience = milliseconds(160)) {
    ++this->totals[customer].arrived;
    const TimePoint now = this->scheduler.Now();
    this->queue.push_back({customer, service, now, now + patience});
    this->Dispatch();
  }

  void RunFor(Duration duration) {
    const TimePoint end = this->scheduler.Now() + duration;
    while (this->scheduler.Now() < end) {
      this->scheduler.RunFor(
          std::min<Duration>(milliseconds(10), end - this->scheduler.Now()));
      this->Dispatch();
    }
  }

  // Takes a connection as a transaction does, until it is released.
  std::shared_ptr<PooledConnection> Pin(const CustomerName& customer) {
    auto connection = this->pool.Acquire(customer, SessionContext());
    if (!connection)
      return nullptr;
    TargetCommand begin;
    begin.kind = TargetCommandKind::kBegin;
    connection->Send(begin, seconds(5), [](const auto&) {});
    this->scheduler.RunFor(milliseconds(2));
    return connection;
  }
  void Unpin(const std::shared_ptr<PooledConnection>& connection) {
    TargetCommand rollback;
    rollback.kind = TargetCommandKind::kRollback;
    connection->Send(rollback, seconds(5), [](const auto&) {});
    this->scheduler.RunFor(milliseconds(2));
    this->pool.Release(connection);
  }

  // Returns the most connections that were opened in any second.
  size_t MaximumOpensPerSecond() const {
    size_t maximum = 0;
    const std::vector<TimePoint>& dialed = this->own_dialer.dialed_at;
    for (size_t first = 0, last = 0; last < dialed.size(); ++last) {
      while (dialed[last] - dialed[first] >= seconds(1))
        ++first;
      maximum = std::max(maximum, last - first + 1);
    }
    return maximum;
  }

  VirtualScheduler scheduler;
  FakeDialer own_dialer{scheduler};
  FakeDialer borrowed_dialer{scheduler};
  std::map<CustomerName, Totals> totals;
  std::vector<ConnectionPool::Reassignment> reassignments;
  ConnectionPool pool;

 private:
  struct Request {
    CustomerName customer;
    Duration service;
    TimePoint arrived_at;
    TimePoint wait_until;
  };

  ConnectionPool::Events MakeEvents() {
    this->own_dialer.answer_command = [](const TargetName&,
                                         const TargetCommand& command) {
      StatementAnswer answer;
      if (command.kind == TargetCommandKind::kBegin)
        answer.state = SessionState::kInTransaction;
      return answer;
    };
    ConnectionPool::Events events;
    events.did_become_free = [this] { this->Dispatch(); };
    events.did_open = [](std::optional<LogPoint>, TimePoint) {};
    events.did_fail = [](ConnectionFailure) {};
    events.did_reassign = [this](const auto& reassignment) {
      this->reassignments.push_back(reassignment);
    };
    return events;
  }

  void Dispatch() {
    if (std::exchange(this->is_dispatching, true)) {
      this->needs_another_pass = true;
      return;
    }
    do {
      this->needs_another_pass = false;
      this->DispatchOnce();
    } while (this->needs_another_pass);
    this->is_dispatching = false;
  }

  void DispatchOnce() {
    const TimePoint now = this->scheduler.Now();
    std::map<CustomerName, size_t> waiting;
    for (const Request& request : this->queue)
      ++waiting[request.customer];
    for (auto next = this->queue.begin(); next != this->queue.end();) {
      Totals& total = this->totals[next->customer];
      if (now >= next->wait_until) {
        ++total.expired;
        next = this->queue.erase(next);
        continue;
      }
      if (this->pool.has_free(next->customer)) {
        ++total.served;
        total.longest_wait =
            std::max(total.longest_wait, now - next->arrived_at);
        this->Serve(*next);
        next = this->queue.erase(next);
        continue;
      }
      const ConnectionPool::Demand demand{
          next->customer, waiting.at(next->customer), next->wait_until};
      if (!this->pool.Provide(demand))
        this->pool.AddClaim(demand);
      ++next;
    }
  }

  void Serve(const Request& request) {
    const auto connection =
        this->pool.Acquire(request.customer, SessionContext());
    REQUIRE(connection != nullptr);
    CHECK(connection->customer() == request.customer);
    this->scheduler.PostAfter(request.service, [this, connection] {
      this->pool.Release(connection);
    });
  }

  std::deque<Request> queue;
  bool is_dispatching = false;
  bool needs_another_pass = false;
};

// Lets requests of a mix of customers arrive at random moments.
void RunMix(PoolLoad& load,
            SeededRandom& random,
            size_t customers,
            double per_second,
            Duration service,
            Duration duration) {
  const ZipfMix mix(customers, 1.2);
  const TimePoint end = load.scheduler.Now() + duration;
  constexpr uint64_t kResolution = 1'000'000;
  while (load.scheduler.Now() < end) {
    const double fraction =
        (static_cast<double>(random.Below(kResolution)) + 0.5) / kResolution;
    load.RunFor(microseconds(
        static_cast<int64_t>(-std::log(fraction) / per_second * 1e6) + 1));
    load.Arrive(Customer(mix.Choose(random)), service);
  }
  load.RunFor(seconds(1));
}

}  // namespace

TEST_CASE("customers that share few connections to one target") {
  PoolLoad load(4);
  load.scheduler.RunFor(seconds(100));

  SUBCASE("in a mix of 82 are all served with few handshakes") {
    SeededRandom random(7);
    // The share of one home in the statements for one target.
    RunMix(load, random, 82, 7.5, milliseconds(18), seconds(300));
    size_t arrived = 0;
    size_t expired = 0;
    size_t expired_of_small = 0;
    for (const auto& [customer, total] : load.totals) {
      arrived += total.arrived;
      expired += total.expired;
      CHECK(total.served > 0);
      if (customer != Customer(0))
        expired_of_small += total.expired;
    }
    MESSAGE("arrived ", arrived, " expired ", expired, " dials ",
            load.own_dialer.dial_count);
    CHECK(load.totals.size() == 82);
    CHECK(load.MaximumOpensPerSecond() <= 14);
    CHECK(load.own_dialer.dial_count < static_cast<int>(arrived * 2 / 3));
    CHECK(expired * 200 <= arrived);
    CHECK(expired_of_small * 200 <= arrived);
    CHECK(load.own_dialer.maximum_open <= 4);
  }

  SUBCASE("do not open more than the rate when they are overloaded") {
    SeededRandom random(11);
    RunMix(load, random, 82, 150, milliseconds(18), seconds(30));
    size_t served = 0;
    for (const auto& [customer, total] : load.totals)
      served += total.served;
    MESSAGE("served per second ", served / 30, " dials per second ",
            load.own_dialer.dial_count / 30);
    CHECK(load.MaximumOpensPerSecond() <= 14);
    CHECK(load.own_dialer.maximum_open <= 4);
  }

  SUBCASE("keep a connection that is needed again soon") {
    const CustomerName frequent = Customer(1);
    const CustomerName rare = Customer(2);
    PoolLoad small(2);
    small.scheduler.RunFor(seconds(100));
    for (int turn = 0; turn < 4800; ++turn) {
      small.Arrive(frequent, milliseconds(5));
      if (turn % 1200 == 10)
        small.Arrive(rare, milliseconds(5));
      if (turn % 1200 == 700)
        small.Arrive(Customer(3), milliseconds(5));
      small.RunFor(milliseconds(50));
    }
    for (const auto& reassignment : small.reassignments)
      CHECK(reassignment.from != frequent);
    CHECK(small.totals[rare].served == 4);
    CHECK(small.totals[Customer(3)].served == 4);
    CHECK(small.totals[frequent].longest_wait <= milliseconds(12));
  }

  SUBCASE("are not crowded out by a large one") {
    const CustomerName large = Customer(1);
    // The large one could keep 9 connections busy.
    for (int turn = 0; turn < 2000; ++turn) {
      load.Arrive(large, milliseconds(18));
      if (turn % 50 == 25)
        load.Arrive(Customer(2 + static_cast<size_t>(turn / 50) % 8),
                    milliseconds(18));
      load.RunFor(milliseconds(2));
    }
    load.RunFor(seconds(1));
    for (size_t number = 2; number < 10; ++number) {
      CHECK(load.totals[Customer(number)].served ==
            load.totals[Customer(number)].arrived);
    }
    MESSAGE("large served ", load.totals[large].served, " dials ",
            load.own_dialer.dial_count);
    // Four connections can serve 222 a second.
    CHECK(load.totals[large].served > 400);
    CHECK(load.MaximumOpensPerSecond() <= 14);
  }

  SUBCASE("take turns when more are busy than there are connections") {
    for (int turn = 0; turn < 3000; ++turn) {
      load.Arrive(Customer(static_cast<size_t>(turn) % 7), milliseconds(18));
      load.RunFor(milliseconds(7));
    }
    load.RunFor(seconds(1));
    for (size_t number = 0; number < 7; ++number) {
      MESSAGE("customer ", number, " served ",
              load.totals[Customer(number)].served, " of ",
              load.totals[Customer(number)].arrived);
      CHECK(load.totals[Customer(number)].served * 4 >=
            load.totals[Customer(number)].arrived);
    }
    CHECK(load.MaximumOpensPerSecond() <= 14);
  }

  SUBCASE("wait while transactions pin all connections") {
    PoolLoad pinned(2);
    pinned.scheduler.RunFor(seconds(100));
    pinned.Arrive(Customer(1), milliseconds(1));
    pinned.Arrive(Customer(1), milliseconds(1));
    pinned.RunFor(milliseconds(100));
    const auto first = pinned.Pin(Customer(1));
    const auto second = pinned.Pin(Customer(1));
    REQUIRE(first != nullptr);
    REQUIRE(second != nullptr);
    pinned.Arrive(Customer(2), milliseconds(1));
    pinned.RunFor(milliseconds(50));
    CHECK(pinned.totals[Customer(2)].served == 0);
    CHECK(first->is_open());
    CHECK(second->is_open());

    SUBCASE("and get the first that ends") {
      pinned.Unpin(first);
      pinned.RunFor(milliseconds(30));
      CHECK(pinned.totals[Customer(2)].served == 1);
      CHECK(second->is_open());
      CHECK(pinned.own_dialer.maximum_open == 2);
    }
    if (!first->is_closed() && first->is_in_transaction())
      pinned.Unpin(first);
    pinned.Unpin(second);
  }

  SUBCASE("keep what they have while the target rejects connections") {
    for (size_t number = 0; number < 4; ++number)
      load.Arrive(Customer(number), milliseconds(1));
    load.RunFor(seconds(5));
    REQUIRE(load.pool.open_count() >= 3);
    const size_t open = load.pool.open_count();
    load.own_dialer.is_at_connection_limit = true;
    load.Arrive(Customer(8), milliseconds(1));
    load.RunFor(milliseconds(30));
    REQUIRE(load.pool.is_backing_off());
    const int dials = load.own_dialer.dial_count;
    // One was closed to make room for the connection that was rejected.
    CHECK(load.pool.open_count() + 1 >= open);
    load.Arrive(Customer(9), milliseconds(1));
    load.RunFor(milliseconds(200));
    CHECK(load.own_dialer.dial_count == dials);
    CHECK(load.pool.open_count() + 1 >= open);

    SUBCASE("until the back-off has ended") {
      load.own_dialer.is_at_connection_limit = false;
      load.RunFor(milliseconds(400));
      load.Arrive(Customer(9), milliseconds(1));
      load.RunFor(milliseconds(100));
      CHECK(load.totals[Customer(9)].served == 1);
    }
  }

  SUBCASE("never hold more than the limit, whatever happens") {
    CHECK(rc::check([] {
      const auto limit = *rc::gen::inRange<size_t>(1, 6);
      PoolLoad any(limit, *rc::gen::inRange(2, 60));
      any.scheduler.RunFor(seconds(100));
      const auto steps =
          *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000));
      for (const int step : steps) {
        if (step % 17 == 0)
          any.own_dialer.is_at_connection_limit ^= true;
        if (step % 13 == 0)
          any.pool.Open({});
        if (step % 11 == 0)
          any.pool.Borrow(Customer(static_cast<size_t>(step) % 5));
        any.Arrive(Customer(static_cast<size_t>(step) % 9),
                   milliseconds(step % 40));
        any.RunFor(milliseconds(step % 23));
        RC_ASSERT(any.own_dialer.maximum_open <= limit);
      }
      any.RunFor(seconds(1));
      any.pool.CloseAll();
    }));
  }
}

}  // namespace kingcupmill
