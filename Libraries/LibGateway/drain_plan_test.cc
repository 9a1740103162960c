#include "LibGateway/drain_plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE("a draining proxy") {
  const DrainPlan plan(milliseconds(6000));

  SUBCASE("serves as usual while callers still connect to it") {
    CHECK(plan.idle_close_start() == milliseconds(2300));
    CHECK(plan.accepts_sessions(plan.idle_close_start()));
    CHECK(plan.accepts_statement(plan.idle_close_start(), milliseconds(4000)));
    CHECK(plan.SessionsToClose(80, milliseconds(2299), milliseconds(100)) == 0);
  }

  SUBCASE("closes idle sessions evenly until it rejects new ones") {
    size_t open = 80;
    size_t most_at_once = 0;
    for (Duration elapsed = plan.idle_close_start();
         elapsed < plan.reject_start(); elapsed += milliseconds(100)) {
      const size_t closed =
          plan.SessionsToClose(open, elapsed, milliseconds(100));
      most_at_once = std::max(most_at_once, closed);
      open -= closed;
    }
    CHECK(open == 0);
    CHECK(most_at_once <= 12);
  }

  SUBCASE("then rejects statements that may outlast the deadline") {
    CHECK_FALSE(plan.accepts_sessions(milliseconds(3000)));
    CHECK_FALSE(plan.accepts_transactions(milliseconds(3000)));
    CHECK(plan.accepts_statement(milliseconds(4500), milliseconds(800)));
    CHECK_FALSE(plan.accepts_statement(milliseconds(4501), milliseconds(800)));
    CHECK_FALSE(plan.accepts_statement(milliseconds(3000), milliseconds(4000)));
  }

  SUBCASE("accepts late statements only if they end in time, for any grace") {
    CHECK(rc::check([] {
      const Duration grace = milliseconds(*rc::gen::inRange(500, 60000));
      const DrainPlan random_plan(grace);
      const Duration elapsed =
          milliseconds(*rc::gen::inRange<int>(0, ToMilliseconds(grace)));
      const Duration timeout = milliseconds(*rc::gen::inRange(1, 5000));
      RC_ASSERT(random_plan.idle_close_start() <= random_plan.reject_start());
      RC_ASSERT(random_plan.reject_start() < random_plan.deadline());
      RC_ASSERT(random_plan.deadline() < grace);
      const bool ends_before_deadline =
          elapsed + timeout <= random_plan.deadline();
      if (elapsed >= random_plan.reject_start())
        RC_ASSERT(random_plan.accepts_statement(elapsed, timeout) ==
                  ends_before_deadline);
    }));
  }
}

}  // namespace kingcupmill
