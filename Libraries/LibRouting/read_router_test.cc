#include "LibRouting/read_router.h"

#include <doctest/doctest.h>

#include "LibFailover/group_view.h"
#include "LibRouting/write_admission.h"

namespace kingcupmill {

namespace {

const TargetName kA{"a"};
const TargetName kB{"b"};
const TargetName kC{"c"};

// A group with a primary that has confirmed position 10 in term 2 and replicas
// at 8.
struct Scene {
  Scene() : view({kA, kB, kC}, AgeProofs::Options{}) {
    for (const TargetName& name : {kA, kB, kC})
      this->loads[name].round_trip = Milliseconds(1);
  }

  void Report(const TargetName& target,
              TargetRole role,
              uint64_t confirmed,
              uint64_t visible) {
    TargetStatus status;
    status.role = role;
    status.term = Term{2};
    status.last_entry = LogPoint{Term{2}, Position{confirmed}};
    status.confirmed = LogPoint{this->confirmed_term, Position{confirmed}};
    status.visible = Position{visible};
    this->view.DidReceiveStatus(target, status, this->now, this->now);
  }

  void ReportAll() {
    this->Report(kA, TargetRole::kPrimary, 10, 10);
    this->Report(kB, TargetRole::kReplica, 10, 8);
    this->Report(kC, TargetRole::kReplica, 10, 8);
  }

  ReadDecision Route(const ReadQuery& query) const {
    return this->router.Route(this->now, query, this->view, this->loads);
  }

  TimePoint now{std::chrono::hours(1)};
  Term confirmed_term{2};
  GroupView view;
  ReadRouter router{ReadRouter::Options{}};
  std::map<TargetName, TargetLoad> loads;
};

}  // namespace

TEST_CASE("A read goes where its session's promise holds at the least cost") {
  Scene scene;
  scene.ReportAll();
  ReadQuery query;
  query.arrived_at = scene.now;

  SUBCASE("without a token it goes to the confirmed primary") {
    const ReadDecision decision = scene.Route(query);
    CHECK(decision.kind == ReadDecision::Kind::kSend);
    CHECK(decision.target == kA);

    SUBCASE("but not when the majority has not been heard for too long") {
      scene.now += std::chrono::seconds(1);
      CHECK(scene.Route(query).kind == ReadDecision::Kind::kRetry);
    }
  }
  SUBCASE("a new primary that has not confirmed an entry of its term waits") {
    Scene fresh;
    fresh.confirmed_term = Term{1};
    fresh.ReportAll();
    CHECK(fresh.Route(query).kind == ReadDecision::Kind::kRetry);
  }
  SUBCASE("a token that the replicas have reached goes to a replica") {
    query.session_point = LogPoint{Term{2}, Position{8}};
    const ReadDecision decision = scene.Route(query);
    CHECK_FALSE(decision.is_primary);
    CHECK(decision.minimum_position == Position{8});
  }
  SUBCASE("a token that no replica can reach soon goes to the primary") {
    query.session_point = LogPoint{Term{2}, Position{10}};
    CHECK(scene.Route(query).is_primary);
  }
  SUBCASE(
      "a token beyond what was acknowledged is refused, once that is sure") {
    query.session_point = LogPoint{Term{2}, Position{11}};
    CHECK(scene.Route(query).kind == ReadDecision::Kind::kFail);
    query.arrived_at += Milliseconds(1);
    CHECK(scene.Route(query).kind != ReadDecision::Kind::kFail);
  }
  SUBCASE("a stated age is served by replicas exactly while it is proven") {
    query.maximum_age = std::chrono::seconds(2);
    scene.Report(kB, TargetRole::kReplica, 10, 10);
    scene.view.DidLoseTarget(kA, scene.now);
    const TimePoint proven_at = scene.now;
    scene.now = proven_at + Milliseconds(1900);
    CHECK(scene.Route(query).target == kB);
    CHECK(scene.router.is_young_enough(proven_at + std::chrono::seconds(2),
                                       query, Position{10}, scene.view));
    CHECK_FALSE(scene.router.is_young_enough(
        proven_at + std::chrono::seconds(2) + Duration(1), query, Position{10},
        scene.view));
    scene.now = proven_at + std::chrono::seconds(2);
    CHECK(scene.Route(query).kind == ReadDecision::Kind::kRetry);
  }
  SUBCASE("a leaving replica gets no new reads") {
    query.session_point = LogPoint{Term{2}, Position{8}};
    scene.loads[kB].is_leaving = true;
    scene.loads[kC].is_leaving = true;
    CHECK(scene.Route(query).is_primary);
  }
  SUBCASE("a busy replica costs more than a free one") {
    query.session_point = LogPoint{Term{2}, Position{8}};
    scene.loads[kB].expected_wait = Milliseconds(10);
    CHECK(scene.Route(query).target == kC);
  }
  SUBCASE("a write is admitted only under a recent majority") {
    const WriteAdmission admission{WriteAdmission::Options{}};
    CHECK(admission.Admit(scene.now, scene.view)->target == kA);
    CHECK_FALSE(
        admission.Admit(scene.now + std::chrono::seconds(1), scene.view));
  }
}

}  // namespace kingcupmill
