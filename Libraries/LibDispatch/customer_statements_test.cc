#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "LibCore/random_source.h"
#include "LibDispatch/test_home.h"
#include "LibLink/zipf_mix.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kLimit = 3;

CustomerName Customer(size_t number) {
  return CustomerName{"customer-" + std::to_string(number)};
}

}  // namespace

TEST_CASE("statements of customers at a home") {
  TestHome home(kLimit, 2);

  SUBCASE("run only on connections opened under the customer's name") {
    SeededRandom random(3);
    for (int turn = 0; turn < 2000; ++turn) {
      const uint64_t kind = random.Below(10);
      // The last one has no customer: the caller of an open route.
      const uint64_t number = random.Below(9);
      home.Submit(number == 8 ? CustomerName{} : Customer(number),
                  kind < 6   ? TestHome::Kind::kRead
                  : kind < 9 ? TestHome::Kind::kWrite
                             : TestHome::Kind::kTransaction);
      home.RunFor(milliseconds(random.Below(40)));
      if (turn % 100 == 50)
        home.own_dialer.is_at_connection_limit ^= true;
    }
    home.RunFor(seconds(2));
    CHECK(home.CountOwnStatements() > 1000);
    CHECK(home.CountForeignStatements() == 0);
    CHECK(home.own_dialer.maximum_open <= kLimit);
    CHECK(home.dispatcher.connections_reassigned() > 0);
    CHECK(home.dispatcher.request_queue().size() == 0);
    for (size_t number = 0; number < 8; ++number)
      CHECK(home.answered_by_customer[Customer(number)] > 50);
  }

  SUBCASE("are answered although another customer's wait in vain") {
    // Transactions of one customer pin all connections to the primary.
    for (size_t count = 0; count < kLimit; ++count)
      home.Submit(Customer(1), TestHome::Kind::kTransaction);
    home.RunFor(milliseconds(20));
    home.Submit(Customer(2), TestHome::Kind::kWrite);
    home.Submit(Customer(3), TestHome::Kind::kRead);
    home.RunFor(milliseconds(300));
    CHECK(home.answered_by_customer[Customer(3)] == 1);
  }

  SUBCASE("use the target where the customer has a connection") {
    for (int turn = 0; turn < 50; ++turn) {
      home.Submit(Customer(1), TestHome::Kind::kRead);
      home.RunFor(milliseconds(40));
    }
    CHECK(home.answered_by_customer[Customer(1)] == 50);
    const auto opened =
        std::count(home.own_dialer.dialed_for.begin(),
                   home.own_dialer.dialed_for.end(), Customer(1));
    CHECK(opened == 1);
  }

  SUBCASE("are answered in time in a mix of 82 customers") {
    TestHome busy(4, 3);
    busy.own_dialer.command_time = milliseconds(15);
    const ZipfMix mix(82, 1.2);
    SeededRandom random(5);
    int submitted = 0;
    const auto run = [&](Duration pause, Duration duration) {
      const TimePoint end = busy.scheduler.Now() + duration;
      while (busy.scheduler.Now() < end) {
        const auto microseconds_to_next =
            random.Below(2 * static_cast<uint64_t>(pause.count()));
        busy.RunFor(Duration(static_cast<int64_t>(microseconds_to_next)));
        busy.Submit(Customer(mix.Choose(random)), random.Below(8) == 0
                                                      ? TestHome::Kind::kWrite
                                                      : TestHome::Kind::kRead);
        ++submitted;
      }
      busy.RunFor(seconds(1));
    };
    const auto refused = [&] {
      int count = 0;
      for (const auto& [customer, number] : busy.refused_by_customer)
        count += number;
      return count;
    };

    SUBCASE("at the usual rate") {
      // A sixth of an eighth of 1,076 statements/s.
      run(milliseconds(45), seconds(120));
      MESSAGE("submitted ", submitted, " refused ", refused(), " opened ",
              busy.dispatcher.connections_opened());
      CHECK(refused() * 200 <= submitted);
    }

    SUBCASE("in a burst") {
      run(milliseconds(17), seconds(60));
      MESSAGE("submitted ", submitted, " refused ", refused(), " opened ",
              busy.dispatcher.connections_opened());
      CHECK(refused() * 50 <= submitted);
    }
    CHECK(busy.CountForeignStatements() == 0);
    CHECK(busy.own_dialer.maximum_open <= 4);
  }

  SUBCASE("without a customer use connections under the name of this VM") {
    // Deployments without customers must send the same bytes to targets.
    for (int turn = 0; turn < 200; ++turn) {
      home.Submit(
          {}, turn % 3 == 0 ? TestHome::Kind::kWrite : TestHome::Kind::kRead);
      home.RunFor(milliseconds(turn % 7));
    }
    home.RunFor(seconds(1));
    CHECK(home.CountOwnStatements() == 200);
    CHECK(home.CountForeignStatements() == 0);
    for (const CustomerName& customer : home.own_dialer.dialed_for)
      CHECK(customer == CustomerName{});
    CHECK(home.dispatcher.connections_reassigned() == 0);
  }
}

}  // namespace kingcupmill
