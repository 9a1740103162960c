#include "LibGateway/drain_plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE("a proxy that stops") {
  const DrainPlan plan(milliseconds(6000));

  SUBCASE("goes on as before while callers are still sent to it") {
    CHECK(plan.notice() == milliseconds(2300));
    CHECK(plan.takes_sessions(plan.notice()));
    CHECK(plan.takes_statement(plan.notice(), milliseconds(4000)));
    CHECK(plan.SessionsToClose(80, milliseconds(2299), milliseconds(100)) == 0);
  }

  SUBCASE("closes sessions at rest evenly until the middle") {
    size_t open = 80;
    size_t most_at_once = 0;
    for (Duration elapsed = plan.notice(); elapsed < plan.middle();
         elapsed += milliseconds(100)) {
      const size_t closed =
          plan.SessionsToClose(open, elapsed, milliseconds(100));
      most_at_once = std::max(most_at_once, closed);
      open -= closed;
    }
    CHECK(open == 0);
    CHECK(most_at_once <= 12);
  }

  SUBCASE("takes no statement after the middle that may last too long") {
    CHECK_FALSE(plan.takes_sessions(milliseconds(3000)));
    CHECK_FALSE(plan.takes_transactions(milliseconds(3000)));
    CHECK(plan.takes_statement(milliseconds(4500), milliseconds(800)));
    CHECK_FALSE(plan.takes_statement(milliseconds(4501), milliseconds(800)));
    CHECK_FALSE(plan.takes_statement(milliseconds(3000), milliseconds(4000)));
  }

  SUBCASE("has what it took answered before its end, for any grace") {
    CHECK(rc::check([] {
      const Duration grace = milliseconds(*rc::gen::inRange(500, 60000));
      const DrainPlan any(grace);
      const Duration elapsed =
          milliseconds(*rc::gen::inRange<int>(0, ToMilliseconds(grace)));
      const Duration timeout = milliseconds(*rc::gen::inRange(1, 5000));
      RC_ASSERT(any.notice() <= any.middle());
      RC_ASSERT(any.middle() < any.end());
      RC_ASSERT(any.end() < grace);
      const bool is_over_in_time = elapsed + timeout <= any.end();
      if (elapsed >= any.middle())
        RC_ASSERT(any.takes_statement(elapsed, timeout) == is_over_in_time);
    }));
  }
}

}  // namespace kingcupmill
