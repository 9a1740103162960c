#include "LibUsage/usage_account.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

UsageQuery QueryOf(const std::string& proxy, uint64_t wanted) {
  UsageQuery query;
  query.proxy = proxy;
  query.wanted = wanted;
  return query;
}

// Takes all tokens that the account has.
uint64_t Drain(UsageAccount& account, TimePoint now) {
  return account.Answer(QueryOf("drain", 1'000'000), 1, now).granted;
}

}  // namespace

TEST_CASE("the usage account of a customer") {
  const UsageLimit limit{100, 100};
  // The predecessor's offline rates have expired.
  UsageAccount account(limit, kStart - seconds(20), kStart, kStart);
  Drain(account, kStart);

  SUBCASE("grants the rate, and keeps at most its depth") {
    CHECK(Drain(account, kStart + milliseconds(100)) == 10);
    CHECK(Drain(account, kStart + seconds(60)) == 40);
  }

  SUBCASE("tells how long it takes until it has another token") {
    const auto answer = account.Answer(QueryOf("a", 1), 1, kStart);
    CHECK(answer.granted == 0);
    CHECK(answer.wait == milliseconds(10));
  }

  SUBCASE("gives offline rates by recent use, whose sum is at most the rate") {
    UsageQuery query = QueryOf("a", 0);
    query.used_rate = 20;
    CHECK(account.Answer(query, 1, kStart).offline_rate == 30);
    UsageQuery other = QueryOf("b", 0);
    other.used_rate = 60;
    // "a" may hold its rate until its next query, so "b" gets what is left.
    CHECK(account.Answer(other, 1, kStart).offline_rate == 70);
    CHECK(account.offline_rates() == 100);
  }

  SUBCASE("subtracts the offline rates of silent proxies") {
    UsageQuery query = QueryOf("a", 0);
    query.used_rate = 40;
    CHECK(account.Answer(query, 1, kStart).offline_rate == 60);
    const Duration silence = UsageTerms(limit).silence_limit;
    Drain(account, kStart + silence);

    SUBCASE("until they have expired") {
      CHECK(Drain(account, kStart + silence + milliseconds(100)) == 4);
      const TimePoint expiry = kStart + UsageTerms::kOfflineLifetime;
      Drain(account, expiry);
      CHECK(Drain(account, expiry + milliseconds(100)) == 10);
    }

    SUBCASE("and does not charge them again for what they used") {
      const TimePoint now = kStart + silence + seconds(1);
      Drain(account, now);
      UsageQuery report = QueryOf("a", 0);
      report.offline_rate = 60;
      report.used_offline = 60;
      account.Answer(report, 1, now);
      CHECK(Drain(account, now + milliseconds(100)) == 10);
    }
  }

  SUBCASE("charges a proxy for what it used because an answer was lost") {
    UsageQuery report = QueryOf("a", 0);
    account.Answer(report, 1, kStart);
    report.used_offline = 5;
    account.Answer(report, 1, kStart);
    CHECK(Drain(account, kStart + milliseconds(100)) == 5);

    SUBCASE("but not after a restart of its process") {
      report.used_offline = 2;
      account.Answer(report, 1, kStart + milliseconds(100));
      CHECK(Drain(account, kStart + milliseconds(200)) == 10);
    }
  }

  SUBCASE("follows a lowered limit at once") {
    account.SetLimit(UsageLimit{10, 10}, kStart + seconds(60));
    CHECK(Drain(account, kStart + seconds(60)) == 8);
    CHECK(Drain(account, kStart + seconds(61)) == 8);
  }
}

TEST_CASE("the account of a new holder") {
  const UsageLimit limit{100, 100};

  SUBCASE("grants nothing until its predecessor has ceased to") {
    UsageAccount account(limit, kStart, kStart + UsageTerms::kTakeoverWait,
                         kStart);
    UsageQuery query = QueryOf("a", 5);
    query.offline_rate = 30;
    const auto answer = account.Answer(query, 1, kStart + seconds(4));
    CHECK(answer.is_holder);
    CHECK_FALSE(answer.is_granting);
    CHECK(answer.granted == 0);
    // The proxy goes on with the rate of the predecessor.
    CHECK(answer.offline_rate == 30);
    // No tokens have accumulated meanwhile.
    CHECK(Drain(account, kStart + UsageTerms::kTakeoverWait) <= 3);
  }

  SUBCASE("subtracts what it does not know") {
    UsageAccount account(limit, kStart, kStart, kStart);
    Drain(account, kStart);
    UsageQuery query = QueryOf("a", 0);
    query.offline_rate = 60;
    account.Answer(query, 0, kStart);
    const TimePoint now = kStart + milliseconds(100);
    query.wanted = 100;
    SUBCASE("when nothing is known of the other proxies") {
      CHECK(account.Answer(query, 0, now).granted == 6);
    }
    SUBCASE("except for the share that nobody holds") {
      CHECK(account.Answer(query, 0.5, now).granted == 8);
    }
    SUBCASE("until all offline rates of its predecessor have expired") {
      const TimePoint expiry = kStart + UsageTerms::kOfflineLifetime;
      account.Answer(query, 0, expiry);
      CHECK(account.Answer(query, 0, expiry + milliseconds(100)).granted == 10);
    }
  }
}

TEST_CASE("the terms of a usage limit keep its bound") {
  for (const double rate : {0.0, 0.1, 1.0, 3.0, 10.0, 30.0, 300.0, 3000.0}) {
    for (const double share : {0.0, 0.1, 0.5, 1.0, 2.0}) {
      const UsageLimit limit{rate, rate * share};
      const UsageTerms terms(limit);
      const double bound = (5 * rate + limit.burst) * 1.1 + 20;
      const auto seconds_of = [](Duration duration) {
        return std::chrono::duration<double>(duration).count();
      };
      CAPTURE(rate);
      CAPTURE(share);
      const double common =
          5 * rate + terms.depth + rate * seconds_of(terms.grant_lifetime);
      CHECK(common + rate * seconds_of(terms.silence_limit) +
                rate * seconds_of(terms.offline_credit) <=
            bound);
      CHECK(common + terms.pool_room <= bound);
      CHECK(terms.pool_room >= 0);
    }
  }
}

}  // namespace kingcupmill
