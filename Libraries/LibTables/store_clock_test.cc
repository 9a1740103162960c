#include "LibTables/store_clock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace kingcupmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The answer to a long poll that brought nothing is as new as its end, not as
// old as its start.
TEST_CASE("when the store made an answer") {
  const TimePoint start{seconds(100)};
  const Duration store_start = seconds(5000);
  StoreClock clock;

  SUBCASE("is after its request without a clock of the store") {
    CHECK(clock.MadeAt(start, start + seconds(2), std::nullopt) == start);
    CHECK(clock.MadeAt(start, start + seconds(2), store_start) == start);
  }

  SUBCASE("follows from an earlier answer that came quickly") {
    clock.MadeAt(start, start + milliseconds(4), store_start + milliseconds(2));
    const TimePoint made_at =
        clock.MadeAt(start + milliseconds(4), start + milliseconds(1808),
                     store_start + milliseconds(1806));
    CHECK(made_at > start + milliseconds(1790));
    CHECK(made_at <= start + milliseconds(1806));

    SUBCASE("unless the store's clock went back") {
      CHECK(clock.MadeAt(start + seconds(2), start + seconds(4), seconds(1)) ==
            start + seconds(2));
    }
  }

  SUBCASE("is never later than it was, for any delays and a small drift") {
    CHECK(rc::check("any delays", [&] {
      StoreClock checked;
      const double drift = 1.0 + *rc::gen::inRange(-9, 10) / 10000.0;
      TimePoint now = start;
      const auto delays =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
      for (size_t index = 0; index + 1 < delays.size(); index += 2) {
        const TimePoint sent_at = now;
        const TimePoint made_at = sent_at + milliseconds(delays[index]);
        now = made_at + milliseconds(delays[index + 1]);
        const auto store_time =
            store_start + duration_cast<Duration>((made_at - start) * drift);
        const TimePoint bound = checked.MadeAt(sent_at, now, store_time);
        RC_ASSERT(bound >= sent_at);
        RC_ASSERT(bound <= made_at + std::chrono::microseconds(10));
      }
    }));
  }
}

}  // namespace kingcupmill
