#include "LibCoordination/successor_choice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <string>

namespace kingcupmill {

namespace {

using Standing = SuccessorCandidate::Standing;

SuccessorCandidate Reporting(const char* name,
                             uint64_t term,
                             uint64_t position) {
  SuccessorCandidate candidate;
  candidate.name = TargetName{name};
  candidate.report =
      TargetReport{false, Term{5}, LogPoint{Term{term}, Position{position}}};
  return candidate;
}

SuccessorCandidate Silent(const char* name) {
  SuccessorCandidate candidate;
  candidate.name = TargetName{name};
  return candidate;
}

}  // namespace

TEST_CASE("choice of a successor") {
  std::vector<SuccessorCandidate> candidates;

  SUBCASE("with one synchronous replica") {
    SUBCASE("is safe when both replicas have reported") {
      candidates = {Reporting("a", 1, 90), Reporting("b", 1, 100)};
      const auto choice = ChooseSuccessor(candidates, 1, std::nullopt);
      CHECK(choice.target == TargetName{"b"});
      CHECK(choice.is_safe);

      SUBCASE("and prefers a later term to a greater number") {
        candidates[0] = Reporting("a", 2, 90);
        CHECK(ChooseSuccessor(candidates, 1, std::nullopt).target ==
              TargetName{"a"});
      }
      SUBCASE("though the furthest leaves or ends soon") {
        candidates[1].standing = Standing::kEnding;
        CHECK(ChooseSuccessor(candidates, 1, std::nullopt).target ==
              TargetName{"b"});
      }
      SUBCASE("though an order to promote the furthest has failed") {
        candidates[1].is_excluded = true;
        CHECK(ChooseSuccessor(candidates, 1, std::nullopt).target ==
              TargetName{"b"});
      }
      SUBCASE("and prefers the one that stays where both end equally") {
        candidates = {Reporting("a", 1, 100), Reporting("b", 1, 100)};
        candidates[0].standing = Standing::kLeaving;
        CHECK(ChooseSuccessor(candidates, 1, std::nullopt).target ==
              TargetName{"b"});
      }
    }

    SUBCASE("is unsafe while one replica has not reported") {
      candidates = {Reporting("a", 1, 90), Silent("b")};
      const auto choice = ChooseSuccessor(candidates, 1, std::nullopt);
      CHECK_FALSE(choice.is_safe);
      CHECK(choice.missing == std::vector<TargetName>{TargetName{"b"}});

      SUBCASE("unless the other has all of the old primary's log") {
        CHECK(ChooseSuccessor(candidates, 1, LogPoint{Term{1}, Position{90}})
                  .is_safe);
        CHECK_FALSE(
            ChooseSuccessor(candidates, 1, LogPoint{Term{1}, Position{91}})
                .is_safe);
      }
      SUBCASE("also if the old primary has lost its log") {
        CHECK_FALSE(
            ChooseSuccessor(candidates, 1, LogPoint{Term{1}, Position{0}})
                .is_safe);
      }
    }
  }

  SUBCASE("without synchronous replicas") {
    SUBCASE("waits for no report") {
      candidates = {Reporting("a", 1, 90), Silent("b")};
      CHECK(ChooseSuccessor(candidates, 0, std::nullopt).is_safe);
    }
    SUBCASE("prefers the furthest log to a target that stays") {
      candidates = {Reporting("a", 1, 90), Reporting("b", 1, 100)};
      candidates[1].standing = Standing::kLeaving;
      CHECK(ChooseSuccessor(candidates, 0, std::nullopt).target ==
            TargetName{"b"});

      SUBCASE("unless it ends soon") {
        candidates[1].standing = Standing::kEnding;
        CHECK(ChooseSuccessor(candidates, 0, std::nullopt).target ==
              TargetName{"a"});
      }
    }
    SUBCASE("passes over a target whose promotion has failed") {
      candidates = {Reporting("a", 1, 90), Reporting("b", 1, 100)};
      candidates[1].is_excluded = true;
      CHECK(ChooseSuccessor(candidates, 0, std::nullopt).target ==
            TargetName{"a"});
    }
  }
}

// Guards against a safe choice that lacks an acknowledged commit, for any logs,
// any missing reports and any number of synchronous replicas.
TEST_CASE("safe choice of a successor holds every acknowledged commit") {
  CHECK(rc::check([] {
    const auto replicas = *rc::gen::inRange<size_t>(1, 6);
    const auto synchronous = *rc::gen::inRange<size_t>(1, replicas + 1);
    std::vector<SuccessorCandidate> candidates;
    std::vector<uint64_t> ends;
    for (size_t index = 0; index < replicas; ++index) {
      const auto end = *rc::gen::inRange<uint64_t>(0, 20);
      ends.push_back(end);
      SuccessorCandidate candidate =
          Reporting(std::to_string(index).c_str(), 1, end);
      candidate.standing = *rc::gen::element(
          Standing::kEnding, Standing::kLeaving, Standing::kReady);
      candidate.is_excluded = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>())
        candidate.report.reset();
      candidates.push_back(std::move(candidate));
    }
    // A commit is acknowledged once this many replicas have received it.
    std::vector<uint64_t> sorted = ends;
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    const uint64_t acknowledged = sorted[synchronous - 1];
    const uint64_t end = sorted[0] + *rc::gen::inRange<uint64_t>(0, 3);
    std::optional<LogPoint> final_point;
    if (*rc::gen::arbitrary<bool>())
      final_point = LogPoint{Term{1}, Position{end}};
    const SuccessorChoice choice =
        ChooseSuccessor(candidates, static_cast<int>(synchronous), final_point);
    if (!choice.target || !choice.is_safe)
      return;
    RC_ASSERT(choice.received.position.value >= acknowledged);
    RC_ASSERT(ends[std::stoul(choice.target->value)] ==
              choice.received.position.value);
  }));
}

}  // namespace kingcupmill
