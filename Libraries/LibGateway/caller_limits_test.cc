#include "LibGateway/caller_limits.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

CallerLimits::Observation Holding(size_t bytes) {
  CallerLimits::Observation observation;
  observation.held_bytes = bytes;
  observation.has_session = true;
  return observation;
}

}  // namespace

TEST_CASE("caller limits") {
  CallerLimits::Options options;
  options.maximum_bytes = 1'000;
  options.maximum_connections = 3;
  options.startup_timeout = std::chrono::seconds(5);
  options.line_timeout = std::chrono::seconds(10);
  options.minimum_line_rate = 100;
  CallerLimits limits(options);
  for (CallerLimits::CallerId caller = 1; caller <= 3; ++caller)
    limits.DidAccept(caller, kStart + std::chrono::milliseconds(caller));

  SUBCASE("bytes within the budget close nobody") {
    limits.Observe(1, Holding(600), kStart);
    limits.Observe(2, Holding(400), kStart);
    CHECK_FALSE(limits.ChooseForMemory());
    CHECK_FALSE(limits.can_hold(1));

    SUBCASE("beyond it the caller that holds most is closed") {
      limits.Observe(3, Holding(1), kStart);
      REQUIRE(limits.ChooseForMemory() == 1);
      limits.Remove(1);
      CHECK(limits.held_bytes() == 401);
      CHECK_FALSE(limits.ChooseForMemory());
    }
    SUBCASE("of callers that hold as much the newest is closed") {
      limits.Observe(3, Holding(600), kStart);
      CHECK(limits.ChooseForMemory() == 3);
    }
    SUBCASE("bytes that are released make room") {
      limits.Observe(1, Holding(0), kStart);
      CHECK(limits.can_hold(600));
    }
  }

  SUBCASE("as many connections as allowed close nobody") {
    CHECK_FALSE(limits.ChooseForConnections());

    SUBCASE("one more closes who has waited longest without a session") {
      limits.Observe(1, Holding(0), kStart);
      limits.DidAccept(4, kStart + std::chrono::seconds(1));
      CHECK(limits.ChooseForConnections() == 2);
    }
    SUBCASE("with sessions only, the oldest without a statement is closed") {
      limits.DidAccept(4, kStart);
      for (CallerLimits::CallerId caller = 1; caller <= 4; ++caller) {
        limits.DidReceiveLine(caller, kStart + std::chrono::seconds(caller));
        limits.Observe(caller, Holding(0), kStart);
      }
      limits.DidReceiveLine(1, kStart + std::chrono::seconds(5));
      CHECK(limits.ChooseForConnections() == 2);
    }
    SUBCASE("of used sessions, the one that was idle longest is closed") {
      limits.DidAccept(4, kStart);
      for (CallerLimits::CallerId caller = 1; caller <= 4; ++caller) {
        limits.DidReceiveLine(caller, kStart);
        limits.DidReceiveLine(caller,
                              kStart + std::chrono::seconds(9 - caller));
        limits.Observe(caller, Holding(0), kStart);
      }
      CHECK(limits.ChooseForConnections() == 4);

      SUBCASE("unless it has an open transaction") {
        CallerLimits::Observation busy = Holding(0);
        busy.is_busy = true;
        limits.Observe(4, busy, kStart);
        CHECK(limits.ChooseForConnections() == 3);
      }
    }
    SUBCASE("if all are busy the newest is refused") {
      CallerLimits::Observation busy = Holding(0);
      busy.is_busy = true;
      limits.DidAccept(4, kStart);
      for (CallerLimits::CallerId caller = 1; caller <= 4; ++caller)
        limits.Observe(caller, busy, kStart);
      CHECK_FALSE(limits.ChooseLeastUsed());
      CHECK(limits.ChooseForConnections() == 4);
    }
  }

  SUBCASE("a new caller takes the place of an idle session") {
    options.maximum_connections = 8;
    CallerLimits full(options);
    for (CallerLimits::CallerId caller = 1; caller <= 9; ++caller) {
      full.DidAccept(caller, kStart + std::chrono::seconds(caller));
      if (caller <= 8) {
        full.DidReceiveLine(caller, kStart + std::chrono::seconds(caller));
        full.Observe(caller, Holding(0), kStart);
      }
    }
    CHECK(full.ChooseForConnections() == 1);

    SUBCASE("but several that only connect take each other's") {
      full.Remove(1);
      full.DidAccept(10, kStart + std::chrono::seconds(10));
      CHECK(full.ChooseForConnections() == 9);
    }
  }

  SUBCASE("a caller without STARTUP is closed after its time") {
    limits.Observe(1, Holding(0), kStart);
    limits.Observe(2, Holding(0), kStart);
    CHECK(limits.FindExpired(kStart + std::chrono::seconds(5)).empty());
    const auto expired = limits.FindExpired(kStart + std::chrono::seconds(6));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].caller == 3);
    CHECK(expired[0].reason == CallerLimits::Reason::kStartup);
  }

  SUBCASE("an idle session is never closed for its time") {
    for (CallerLimits::CallerId caller = 1; caller <= 3; ++caller)
      limits.Observe(caller, Holding(0), kStart);
    CHECK(limits.FindExpired(kStart + std::chrono::hours(24)).empty());

    SUBCASE("an unfinished line has a base time and a minimum rate") {
      CallerLimits::Observation line = Holding(500);
      line.unfinished_line_bytes = 500;
      limits.Observe(1, line, kStart);
      // A byte from time to time does not extend the time.
      line.unfinished_line_bytes = 501;
      limits.Observe(1, line, kStart + std::chrono::seconds(14));
      CHECK(limits.FindExpired(kStart + std::chrono::seconds(15)).empty());
      const auto expired =
          limits.FindExpired(kStart + std::chrono::milliseconds(15'100));
      REQUIRE(expired.size() == 1);
      CHECK(expired[0].reason == CallerLimits::Reason::kLine);

      SUBCASE("which begin again with the next line") {
        limits.DidReceiveLine(1, kStart + std::chrono::seconds(14));
        CHECK(limits.FindExpired(kStart + std::chrono::seconds(20)).empty());
      }
      SUBCASE("and do not pass while reading is paused") {
        limits.Observe(1, Holding(501), kStart + std::chrono::seconds(14));
        CHECK(limits.FindExpired(kStart + std::chrono::hours(1)).empty());
      }
    }
    SUBCASE("unsent bytes must become fewer") {
      CallerLimits::Observation unread = Holding(500);
      unread.unsent_bytes = 500;
      limits.Observe(1, unread, kStart);
      unread.unsent_bytes = 499;
      limits.Observe(1, unread, kStart + std::chrono::seconds(9));
      CHECK(limits.FindExpired(kStart + std::chrono::seconds(19)).empty());
      const auto expired =
          limits.FindExpired(kStart + std::chrono::seconds(20));
      REQUIRE(expired.size() == 1);
      CHECK(expired[0].reason == CallerLimits::Reason::kUnread);
    }
  }
}

}  // namespace kingcupmill
