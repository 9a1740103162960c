#include "LibFailover/promoter.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

const TargetName kA{"a"};
const TargetName kB{"b"};
const TargetName kC{"c"};

// A group of three targets, as seen by one proxy, with a simulated clock.
struct TestGroup {
  TestGroup()
      : view({kA, kB, kC}, StalenessTracker::Options{}), promoter({}, random) {}

  void Report(const TargetName& target,
              TargetRole role,
              uint64_t term,
              uint64_t position,
              int64_t silence_ms) {
    TargetStatus status;
    status.role = role;
    status.term = Term{term};
    status.last_entry = LogPoint{Term{term}, Position{position}};
    status.time_since_primary_contact = Milliseconds(silence_ms);
    this->view.DidReceiveStatus(target, status, this->now, this->now);
  }

  void ReportHealthy() {
    this->Report(kA, TargetRole::kPrimary, 1, 10, 0);
    this->Report(kB, TargetRole::kReplica, 1, 10, 20);
    this->Report(kC, TargetRole::kReplica, 1, 9, 20);
  }

  // Advances the clock by 100 ms per round while the group stays healthy.
  void RunHealthy(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      this->now += Milliseconds(100);
      this->ReportHealthy();
      CHECK(this->Tick().empty());
    }
  }

  std::vector<PromotionAction> Tick(size_t rank = 0) {
    return this->promoter.Tick(this->now, this->view, rank, this->leaving);
  }

  SeededRandom random{1};
  TimePoint now{std::chrono::hours(1)};
  GroupView view;
  Promoter<SeededRandom> promoter;
  std::set<TargetName> leaving;
};

}  // namespace

TEST_CASE("A proxy replaces a lost primary") {
  TestGroup group;
  group.RunHealthy(20);

  SUBCASE(
      "a primary that this proxy cannot reach is kept while the replicas "
      "receive its heartbeats") {
    group.view.DidLoseTarget(kA, group.now);
    group.Tick();
    CHECK_FALSE(group.promoter.is_active());
  }

  SUBCASE("when the replicas receive no heartbeats from it") {
    group.now += Milliseconds(400);
    group.view.DidLoseTarget(kA, group.now);
    group.Report(kB, TargetRole::kReplica, 1, 10, 500);
    group.Report(kC, TargetRole::kReplica, 1, 9, 500);
    CHECK(group.Tick().empty());

    SUBCASE("a proxy of a higher rank waits for the delay of its rank") {
      TestGroup later;
      later.RunHealthy(20);
      later.now += Milliseconds(400);
      later.Report(kB, TargetRole::kReplica, 1, 10, 500);
      later.Report(kC, TargetRole::kReplica, 1, 9, 500);
      CHECK(later.Tick(2).empty());
      CHECK(later.Tick(2).empty());
      later.now += PromoterOptions{}.rank_delay * 2;
      CHECK(later.Tick(2).size() == 3);
    }

    SUBCASE("the first proxy seals the next term on every target") {
      const auto seals = group.Tick();
      REQUIRE(seals.size() == 3);
      CHECK(std::get<SealTarget>(seals[0]).term == Term{2});

      TargetStatus granted;
      granted.term = Term{2};
      granted.last_entry = LogPoint{Term{1}, Position{9}};
      CHECK(
          group.promoter
              .DidReceiveSeal(group.now, kC, Term{2}, true, granted, group.view)
              .empty());

      SUBCASE("and promotes the sealed target with the highest last entry") {
        granted.last_entry.position = Position{10};
        const auto lead = group.promoter.DidReceiveSeal(
            group.now, kB, Term{2}, true, granted, group.view);
        REQUIRE(lead.size() == 1);
        CHECK(std::get<LeadTarget>(lead[0]).target == kB);
        const auto record =
            group.promoter.DidReceiveLead(group.now, kB, Term{2}, true);
        CHECK(std::holds_alternative<RecordPrimary>(record.at(0)));
      }
      SUBCASE("and prefers a last entry of a higher term to a longer log") {
        granted.last_entry = LogPoint{Term{0}, Position{50}};
        const auto lead = group.promoter.DidReceiveSeal(
            group.now, kB, Term{2}, true, granted, group.view);
        CHECK(std::get<LeadTarget>(lead.at(0)).target == kC);
      }
      SUBCASE(
          "and retries in a later term when only a minority grants the seal") {
        group.now += PromoterOptions{}.seal_timeout;
        CHECK(group.Tick().empty());
        group.now += PromoterOptions{}.backoff * 2;
        group.Report(kB, TargetRole::kReplica, 1, 10, 900);
        group.Report(kC, TargetRole::kReplica, 1, 9, 900);
        const auto again = group.Tick();
        REQUIRE(again.size() == 3);
        CHECK(std::get<SealTarget>(again[0]).term == Term{3});
      }
      SUBCASE("and ignores the response to an earlier attempt") {
        CHECK(group.promoter
                  .DidReceiveSeal(group.now, kB, Term{1}, true, granted,
                                  group.view)
                  .empty());
      }
    }
  }

  SUBCASE("nothing is sealed while no majority is reachable") {
    group.now += Milliseconds(400);
    group.view.DidLoseTarget(kA, group.now);
    group.view.DidLoseTarget(kB, group.now);
    group.Report(kC, TargetRole::kReplica, 1, 9, 5000);
    CHECK(group.Tick().empty());
    CHECK_FALSE(group.promoter.is_active());
  }

  SUBCASE("a leaving primary holds writes before the next term is sealed") {
    group.leaving = {kA};
    CHECK(group.Tick().empty());
    const auto hold = group.Tick();
    REQUIRE(hold.size() == 1);
    CHECK(std::get<HoldWrites>(hold[0]).target == kA);
    group.promoter.DidReceiveHold(group.now);
    group.now += PromoterOptions{}.hold_settle;
    CHECK(group.Tick().size() == 3);
  }

  SUBCASE("a leaving primary is kept while no replica follows it closely") {
    group.leaving = {kA};
    group.Report(kB, TargetRole::kReplica, 0, 2, 50);
    group.view.DidLoseTarget(kC, group.now);
    CHECK(group.Tick().empty());
    CHECK_FALSE(group.promoter.is_active());
  }
}

TEST_CASE("A slow but healthy primary is not replaced for half an hour") {
  TestGroup group;
  constexpr int kRounds = 30 * 60 * 10;
  for (int round = 0; round < kRounds; ++round) {
    group.now += Milliseconds(100);
    // In every other minute, one replica reports up to 370 ms without a
    // heartbeat.
    const int64_t silence = 50 + (round / 600 % 2) * (round % 9) * 40;
    group.Report(kA, TargetRole::kPrimary, 1, 10, 0);
    group.Report(kB, TargetRole::kReplica, 1, 10, silence);
    group.Report(kC, TargetRole::kReplica, 1, 10, 20);
    CHECK(group.Tick().empty());
  }
  CHECK(group.promoter.promotion_count() == 0);
}

}  // namespace kingcupmill
