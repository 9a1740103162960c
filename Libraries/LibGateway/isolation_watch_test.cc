#include "LibGateway/isolation_watch.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

IsolationWatch::Sight CutOff() {
  IsolationWatch::Sight sight;
  sight.groups = 3;
  sight.silent_groups = 2;
  sight.others = 4;
  sight.heard_age = seconds(2);
  return sight;
}

}  // namespace

TEST_CASE("a proxy in a place that is cut off") {
  IsolationWatch watch;
  const TimePoint start{seconds(100)};

  SUBCASE("asks others before it believes it") {
    watch.DidSee(CutOff(), start);
    CHECK(watch.should_ask());
    CHECK_FALSE(watch.is_isolated());

    SUBCASE("and knows it when none answers") {
      watch.DidSee(CutOff(), start + milliseconds(400));
      CHECK(watch.is_isolated());
      CHECK(watch.since() == start + milliseconds(400));

      SUBCASE("until one answers again") {
        IsolationWatch::Sight healed = CutOff();
        healed.heard_age = milliseconds(10);
        watch.DidSee(healed, start + seconds(1));
        CHECK_FALSE(watch.is_isolated());
      }

      SUBCASE("until the primaries answer again") {
        IsolationWatch::Sight healed = CutOff();
        healed.silent_groups = 0;
        watch.DidSee(healed, start + seconds(1));
        CHECK_FALSE(watch.is_isolated());
        CHECK_FALSE(watch.should_ask());
      }
    }

    SUBCASE("and is not cut off when one answers: the primaries are gone") {
      IsolationWatch::Sight heard = CutOff();
      heard.heard_age = milliseconds(50);
      watch.DidSee(heard, start + milliseconds(500));
      CHECK_FALSE(watch.is_isolated());
    }
  }

  SUBCASE("is not cut off while most primaries answer") {
    IsolationWatch::Sight alone = CutOff();
    alone.silent_groups = 1;
    watch.DidSee(alone, start);
    watch.DidSee(alone, start + seconds(5));
    CHECK_FALSE(watch.is_isolated());
  }

  SUBCASE("has nobody to send callers to when there is no other place") {
    IsolationWatch::Sight single = CutOff();
    single.others = 0;
    watch.DidSee(single, start);
    watch.DidSee(single, start + seconds(5));
    CHECK_FALSE(watch.is_isolated());
  }
}

}  // namespace kingcupmill
