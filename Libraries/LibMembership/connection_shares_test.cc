#include "LibMembership/connection_shares.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcupmill {

TEST_CASE("the connections of a target") {
  SUBCASE("suffice for every proxy of a small installation") {
    CHECK(ConnectionShares(16).can_all_be_homes(7));
    CHECK(ConnectionShares(16).LimitPerHome(7) == 1);
    CHECK(ConnectionShares(30).LimitPerHome(7) == 2);
  }

  SUBCASE("are shared among a few homes of a large installation") {
    CHECK_FALSE(ConnectionShares(88).can_all_be_homes(295));
    CHECK_FALSE(ConnectionShares(107).can_all_be_homes(75));
    CHECK(ConnectionShares(88).HomeCount() == 10);
    CHECK(ConnectionShares(88).LimitPerHome(10) == 4);
    CHECK(ConnectionShares(27).HomeCount() == 3);
  }

  SUBCASE("suffice when all proxies lose power and restart at once") {
    CHECK(rc::check([] {
      const int maximum = *rc::gen::inRange(6, 200);
      const ConnectionShares shares(maximum);
      const size_t homes = shares.HomeCount();
      const size_t lost = homes * shares.LimitPerHome(homes);
      RC_ASSERT(2 * lost <= static_cast<size_t>(maximum));
    }));
    // Small installations, where every proxy is a home.
    for (const int maximum : {16, 21, 30}) {
      const size_t held = 7 * ConnectionShares(maximum).LimitPerHome(7);
      CHECK(2 * held <= static_cast<size_t>(maximum));
    }
  }
}

}  // namespace kingcupmill
