#include "LibPrimary/position_samples.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LogPoint At(uint64_t term, uint64_t position) {
  return LogPoint{Term{term}, Position{position}};
}

}  // namespace

TEST_CASE("position samples of a group's log") {
  PositionSamples samples;
  const TimePoint start{seconds(100)};

  SUBCASE("are empty at first") {
    CHECK_FALSE(samples.PositionCovering(start, Term{0}).has_value());
    CHECK_FALSE(samples.newest_at().has_value());
  }

  SUBCASE("cover a moment by the oldest one sent at or after it") {
    samples.Add(At(1, 10), start);
    samples.Add(At(1, 20), start + milliseconds(100));
    samples.Add(At(1, 30), start + milliseconds(200));
    CHECK(samples.PositionCovering(start + milliseconds(50), Term{0}) ==
          At(1, 20));
    CHECK(samples.PositionCovering(start + milliseconds(100), Term{0}) ==
          At(1, 20));

    SUBCASE("and do not cover a moment after the last one") {
      CHECK_FALSE(samples.PositionCovering(start + milliseconds(201), Term{0})
                      .has_value());
    }

    SUBCASE(
        "and after a promotion are limited to the new term for a session that "
        "wrote before it") {
      samples.Add(At(2, 25), start + milliseconds(300));
      CHECK(samples.PositionCovering(start, Term{2}) == At(2, 25));
    }

    SUBCASE("and are dropped when they are old") {
      samples.Add(At(1, 99), start + seconds(20));
      CHECK(samples.PositionCovering(start, Term{0}) == At(1, 99));
    }
  }
}

}  // namespace kingcupmill
