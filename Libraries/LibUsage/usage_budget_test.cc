#include "LibUsage/usage_budget.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

UsageAnswer Granting(uint64_t granted, double offline_rate) {
  UsageAnswer answer;
  answer.is_holder = true;
  answer.is_granting = true;
  answer.granted = granted;
  answer.offline_rate = offline_rate;
  return answer;
}

int TakeAll(UsageBudget& budget, TimePoint now) {
  int count = 0;
  while (budget.Take(now))
    ++count;
  return count;
}

}  // namespace

TEST_CASE("the tokens of a proxy") {
  const UsageLimit limit{100, 100};
  UsageBudget budget(limit, kStart);
  CHECK_FALSE(budget.Take(kStart).has_value());
  CHECK(budget.should_ask(4, kStart));
  CHECK(budget.StartQuery(4, kStart).wanted == 4);
  // One query at a time.
  CHECK_FALSE(budget.should_ask(9, kStart));

  SUBCASE("are those that were granted") {
    budget.DidReceive(Granting(4, 20), kStart + milliseconds(3));
    CHECK(TakeAll(budget, kStart + milliseconds(3)) == 4);
  }

  SUBCASE("expire after the query was sent") {
    budget.DidReceive(Granting(4, 20), kStart + milliseconds(400));
    CHECK(TakeAll(budget, kStart + milliseconds(500)) == 0);
  }

  SUBCASE("come back from operations that did not run") {
    budget.DidReceive(Granting(1, 20), kStart);
    const auto token = budget.Take(kStart);
    REQUIRE(token.has_value());
    budget.Return(*token, kStart + milliseconds(100));
    CHECK(TakeAll(budget, kStart + milliseconds(100)) == 1);
    budget.Return(*token, kStart + seconds(1));
    CHECK(TakeAll(budget, kStart + seconds(1)) == 0);
  }

  SUBCASE("shrink with a lowered limit") {
    budget.DidReceive(Granting(4, 20), kStart);
    budget.SetLimit(UsageLimit{25, 25}, kStart);
    CHECK(TakeAll(budget, kStart) == 1);
  }

  SUBCASE("are asked for ahead by a busy customer") {
    budget.DidReceive(Granting(4, 20), kStart);
    CHECK_FALSE(budget.should_ask(0, kStart));
    TimePoint now = kStart;
    uint64_t last_wanted = 0;
    for (int count = 0; count < 200; ++count) {
      now += milliseconds(10);
      const size_t waiting = budget.Take(now) ? 0 : 1;
      if (!budget.should_ask(waiting, now))
        continue;
      last_wanted = budget.StartQuery(waiting, now).wanted;
      budget.DidReceive(Granting(last_wanted, 20), now);
    }
    CHECK(last_wanted > 3);
  }

  SUBCASE("follow the offline rate when the holder stops answering") {
    budget.DidReceive(Granting(4, 20), kStart);
    CHECK(TakeAll(budget, kStart) == 4);
    budget.StartQuery(1, kStart);
    const TimePoint lost = kStart + milliseconds(10);
    budget.DidLoseAnswer(lost);
    CHECK(budget.is_offline());
    TakeAll(budget, lost);
    CHECK(TakeAll(budget, lost + milliseconds(200)) == 4);

    SUBCASE("until it has expired") {
      const TimePoint expiry = kStart + UsageTerms::kOfflineLifetime;
      TakeAll(budget, expiry);
      CHECK(TakeAll(budget, expiry + seconds(5)) == 0);
      CHECK_FALSE(budget.knows_holder(expiry));
    }

    SUBCASE("and are reported to the next holder") {
      const auto query = budget.StartQuery(1, lost + milliseconds(200));
      CHECK(query.used_offline >= 4);
      CHECK(query.offline_rate == 20);
    }

    SUBCASE("which is not kept up after an answer") {
      budget.StartQuery(1, lost + milliseconds(200));
      budget.DidReceive(Granting(0, 20), lost + milliseconds(201));
      CHECK(TakeAll(budget, lost + seconds(2)) == 0);
    }

    SUBCASE("and are pooled with a peer that has answered") {
      TimePoint now = lost + milliseconds(200);
      CHECK(budget.should_pool(0, now));
      CHECK(budget.StartPoolQuery(0, now).deposit == 0);
      budget.DidReceivePool(UsagePoolAnswer{0}, now);
      now += milliseconds(100);
      CHECK(budget.should_pool(1, now));
      const auto query = budget.StartPoolQuery(1, now);
      CHECK(query.deposit == doctest::Approx(2));
      CHECK(query.wanted == 1);
      CHECK(TakeAll(budget, now) == 0);
      budget.DidReceivePool(UsagePoolAnswer{1}, now);
      CHECK(TakeAll(budget, now) == 1);
    }
  }

  SUBCASE("are forgotten when the customer is idle") {
    budget.DidReceive(Granting(4, 0), kStart);
    TakeAll(budget, kStart);
    CHECK_FALSE(budget.is_idle(kStart + seconds(1)));
    CHECK(budget.is_idle(kStart + seconds(6)));
  }
}

}  // namespace kingcupmill
