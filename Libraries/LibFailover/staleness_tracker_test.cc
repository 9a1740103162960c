#include "LibFailover/staleness_tracker.h"

#include <doctest/doctest.h>

namespace kingcupmill {

TEST_CASE("A proxy bounds the staleness of a replica's data") {
  StalenessTracker tracker{StalenessTracker::Options{}};
  const TimePoint start{std::chrono::hours(1)};
  const auto at = [&](int64_t ms) { return start + Milliseconds(ms); };

  SUBCASE("nothing is known before the first sample") {
    CHECK_FALSE(tracker.LowestPositionFreshAt(at(0)));
    CHECK_FALSE(tracker.LastFreshAt(Position{5}));
  }

  SUBCASE("with samples at three times") {
    tracker.Add(at(0), Position{10});
    tracker.Add(at(100), Position{20});
    tracker.Add(at(200), Position{20});

    SUBCASE("a position is as fresh as the last sample that it includes") {
      CHECK(tracker.LastFreshAt(Position{9}) == std::nullopt);
      CHECK(tracker.LastFreshAt(Position{10}) == at(0));
      CHECK(tracker.LastFreshAt(Position{19}) == at(0));
      CHECK(tracker.LastFreshAt(Position{25}) == at(200));
    }
    SUBCASE("a bound requires the position of the first sample within it") {
      CHECK(tracker.LowestPositionFreshAt(at(-50)) == Position{10});
      CHECK(tracker.LowestPositionFreshAt(at(50)) == Position{20});
      CHECK_FALSE(tracker.LowestPositionFreshAt(at(201)));
    }
    SUBCASE("a sample with a lower position is ignored") {
      tracker.Add(at(300), Position{15});
      CHECK(tracker.LastFreshAt(Position{25}) == at(200));
    }
    SUBCASE("samples older than the retention are dropped") {
      tracker.Add(at(100'000), Position{30});
      CHECK_FALSE(tracker.LastFreshAt(Position{25}));
    }
  }
}

}  // namespace kingcupmill
