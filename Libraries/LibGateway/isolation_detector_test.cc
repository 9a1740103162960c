#include "LibGateway/isolation_detector.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

IsolationDetector::Observation Isolated() {
  IsolationDetector::Observation observation;
  observation.groups = 3;
  observation.silent_groups = 2;
  observation.remote_members = 4;
  observation.last_answer_age = seconds(2);
  return observation;
}

}  // namespace

TEST_CASE("an isolation detector") {
  IsolationDetector detector;
  const TimePoint start{seconds(100)};

  SUBCASE("probes other places before it reports isolation") {
    detector.Observe(Isolated(), start);
    CHECK(detector.should_probe());
    CHECK_FALSE(detector.is_isolated());

    SUBCASE("and reports it when no other place answers") {
      detector.Observe(Isolated(), start + milliseconds(400));
      CHECK(detector.is_isolated());
      CHECK(detector.since() == start + milliseconds(400));

      SUBCASE("until another place answers again") {
        IsolationDetector::Observation recovered = Isolated();
        recovered.last_answer_age = milliseconds(10);
        detector.Observe(recovered, start + seconds(1));
        CHECK_FALSE(detector.is_isolated());
      }

      SUBCASE("until the primaries answer again") {
        IsolationDetector::Observation recovered = Isolated();
        recovered.silent_groups = 0;
        detector.Observe(recovered, start + seconds(1));
        CHECK_FALSE(detector.is_isolated());
        CHECK_FALSE(detector.should_probe());
      }
    }

    SUBCASE(
        "and reports none when another place answers: the primaries failed") {
      IsolationDetector::Observation answered = Isolated();
      answered.last_answer_age = milliseconds(50);
      detector.Observe(answered, start + milliseconds(500));
      CHECK_FALSE(detector.is_isolated());
    }
  }

  SUBCASE("reports no isolation while most primaries answer") {
    IsolationDetector::Observation reachable = Isolated();
    reachable.silent_groups = 1;
    detector.Observe(reachable, start);
    detector.Observe(reachable, start + seconds(5));
    CHECK_FALSE(detector.is_isolated());
  }

  // The VMs were split in two, and this side reaches the primaries but neither
  // the store nor most homes: its leases end within seconds.
  SUBCASE("reports isolation when most leases cannot be renewed") {
    IsolationDetector::Observation split = Isolated();
    split.silent_groups = 0;
    split.unrenewable_groups = 2;
    split.last_answer_age = milliseconds(50);
    detector.Observe(split, start);
    CHECK_FALSE(detector.is_isolated());
    detector.Observe(split, start + milliseconds(400));
    CHECK(detector.is_isolated());

    SUBCASE("until they can be renewed again") {
      split.unrenewable_groups = 1;
      detector.Observe(split, start + milliseconds(500));
      CHECK_FALSE(detector.is_isolated());
    }
  }

  SUBCASE("reports no isolation when there is no other place to use instead") {
    IsolationDetector::Observation single = Isolated();
    single.remote_members = 0;
    detector.Observe(single, start);
    detector.Observe(single, start + seconds(5));
    CHECK_FALSE(detector.is_isolated());
  }
}

}  // namespace kingcupmill
