#include "LibRouting/read_router.h"

#include <doctest/doctest.h>

#include "LibFailover/group_view.h"
#include "LibRouting/write_admission.h"

namespace kingcupmill {

namespace {

const TargetName kA{"a"};
const TargetName kB{"b"};
const TargetName kC{"c"};

// A group whose primary has confirmed position 10 in term 2, with two replicas
// at position 8.
struct TestGroup {
  TestGroup() : view({kA, kB, kC}, StalenessTracker::Options{}) {
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

TEST_CASE(
    "A read goes to the cheapest target that meets its consistency "
    "requirements") {
  TestGroup group;
  group.ReportAll();
  ReadQuery query;
  query.arrived_at = group.now;

  SUBCASE("without a session token it goes to the confirmed primary") {
    const ReadDecision decision = group.Route(query);
    CHECK(decision.kind == ReadDecision::Kind::kSend);
    CHECK(decision.target == kA);

    SUBCASE("but not when the last majority confirmation is too old") {
      group.now += std::chrono::seconds(1);
      CHECK(group.Route(query).kind == ReadDecision::Kind::kRetry);
    }
  }
  SUBCASE(
      "a new primary serves no reads before it confirms an entry of its term") {
    TestGroup new_group;
    new_group.confirmed_term = Term{1};
    new_group.ReportAll();
    CHECK(new_group.Route(query).kind == ReadDecision::Kind::kRetry);
  }
  SUBCASE("a session point that the replicas have reached goes to a replica") {
    query.session_point = LogPoint{Term{2}, Position{8}};
    const ReadDecision decision = group.Route(query);
    CHECK_FALSE(decision.is_primary);
    CHECK(decision.minimum_position == Position{8});
  }
  SUBCASE(
      "a session point that no replica can reach soon goes to the primary") {
    query.session_point = LogPoint{Term{2}, Position{10}};
    CHECK(group.Route(query).is_primary);
  }
  SUBCASE(
      "a session point beyond every acknowledged write is rejected, but only "
      "if the statuses are newer than the read") {
    query.session_point = LogPoint{Term{2}, Position{11}};
    CHECK(group.Route(query).kind == ReadDecision::Kind::kFail);
    query.arrived_at += Milliseconds(1);
    CHECK(group.Route(query).kind != ReadDecision::Kind::kFail);
  }
  SUBCASE(
      "replicas serve a maximum age exactly while their data is proven "
      "fresh") {
    query.maximum_age = std::chrono::seconds(2);
    group.Report(kB, TargetRole::kReplica, 10, 10);
    group.view.DidLoseTarget(kA, group.now);
    const TimePoint fresh_at = group.now;
    group.now = fresh_at + Milliseconds(1900);
    CHECK(group.Route(query).target == kB);
    CHECK(group.router.is_fresh_enough(fresh_at + std::chrono::seconds(2),
                                       query, Position{10}, group.view));
    CHECK_FALSE(group.router.is_fresh_enough(
        fresh_at + std::chrono::seconds(2) + Duration(1), query, Position{10},
        group.view));
    group.now = fresh_at + std::chrono::seconds(2);
    CHECK(group.Route(query).kind == ReadDecision::Kind::kRetry);
  }
  SUBCASE("a leaving replica gets no new reads") {
    query.session_point = LogPoint{Term{2}, Position{8}};
    group.loads[kB].is_leaving = true;
    group.loads[kC].is_leaving = true;
    CHECK(group.Route(query).is_primary);
  }
  SUBCASE("a busy replica costs more than a free one") {
    query.session_point = LogPoint{Term{2}, Position{8}};
    group.loads[kB].expected_wait = Milliseconds(10);
    CHECK(group.Route(query).target == kC);
  }
  SUBCASE("a write is admitted only after a recent majority confirmation") {
    const WriteAdmission admission{WriteAdmission::Options{}};
    CHECK(admission.Admit(group.now, group.view)->target == kA);
    CHECK_FALSE(
        admission.Admit(group.now + std::chrono::seconds(1), group.view));
  }
}

}  // namespace kingcupmill
