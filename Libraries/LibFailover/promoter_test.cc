#include "LibFailover/promoter.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

const TargetName kA{"a"};
const TargetName kB{"b"};
const TargetName kC{"c"};

// A group of three targets as one proxy sees it, with a clock.
struct Scene {
  Scene() : view({kA, kB, kC}, AgeProofs::Options{}), promoter({}, random) {}

  void Report(const TargetName& target,
              TargetRole role,
              uint64_t term,
              uint64_t position,
              int64_t silence_ms) {
    TargetStatus status;
    status.role = role;
    status.term = Term{term};
    status.last_entry = LogPoint{Term{term}, Position{position}};
    status.since_primary_heard = Milliseconds(silence_ms);
    this->view.DidReceiveStatus(target, status, this->now, this->now);
  }

  void ReportHealthy() {
    this->Report(kA, TargetRole::kPrimary, 1, 10, 0);
    this->Report(kB, TargetRole::kReplica, 1, 10, 20);
    this->Report(kC, TargetRole::kReplica, 1, 9, 20);
  }

  // Lets time pass with a healthy group.
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
  Scene scene;
  scene.RunHealthy(20);

  SUBCASE(
      "a primary that one proxy cannot reach stays, while replicas hear it") {
    scene.view.DidLoseTarget(kA, scene.now);
    scene.Tick();
    CHECK_FALSE(scene.promoter.is_active());
  }

  SUBCASE("when the replicas do not hear it") {
    scene.now += Milliseconds(400);
    scene.view.DidLoseTarget(kA, scene.now);
    scene.Report(kB, TargetRole::kReplica, 1, 10, 500);
    scene.Report(kC, TargetRole::kReplica, 1, 9, 500);
    CHECK(scene.Tick().empty());

    SUBCASE("a proxy of a later rank waits for its turn") {
      Scene later;
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
      const auto seals = scene.Tick();
      REQUIRE(seals.size() == 3);
      CHECK(std::get<SealTarget>(seals[0]).term == Term{2});

      TargetStatus granted;
      granted.term = Term{2};
      granted.last_entry = LogPoint{Term{1}, Position{9}};
      CHECK(
          scene.promoter
              .DidReceiveSeal(scene.now, kC, Term{2}, true, granted, scene.view)
              .empty());

      SUBCASE("and lets the furthest of a majority lead") {
        granted.last_entry.position = Position{10};
        const auto lead = scene.promoter.DidReceiveSeal(
            scene.now, kB, Term{2}, true, granted, scene.view);
        REQUIRE(lead.size() == 1);
        CHECK(std::get<LeadTarget>(lead[0]).target == kB);
        const auto record =
            scene.promoter.DidReceiveLead(scene.now, kB, Term{2}, true);
        CHECK(std::holds_alternative<RecordPrimary>(record.at(0)));
      }
      SUBCASE("an entry of a higher term beats a longer log") {
        granted.last_entry = LogPoint{Term{0}, Position{50}};
        const auto lead = scene.promoter.DidReceiveSeal(
            scene.now, kB, Term{2}, true, granted, scene.view);
        CHECK(std::get<LeadTarget>(lead.at(0)).target == kC);
      }
      SUBCASE("a seal that reaches a minority is tried again in a later term") {
        scene.now += PromoterOptions{}.seal_timeout;
        CHECK(scene.Tick().empty());
        scene.now += PromoterOptions{}.backoff * 2;
        scene.Report(kB, TargetRole::kReplica, 1, 10, 900);
        scene.Report(kC, TargetRole::kReplica, 1, 9, 900);
        const auto again = scene.Tick();
        REQUIRE(again.size() == 3);
        CHECK(std::get<SealTarget>(again[0]).term == Term{3});
      }
      SUBCASE("an answer to an earlier attempt counts for nothing") {
        CHECK(scene.promoter
                  .DidReceiveSeal(scene.now, kB, Term{1}, true, granted,
                                  scene.view)
                  .empty());
      }
    }
  }

  SUBCASE("without a majority in reach nothing is sealed") {
    scene.now += Milliseconds(400);
    scene.view.DidLoseTarget(kA, scene.now);
    scene.view.DidLoseTarget(kB, scene.now);
    scene.Report(kC, TargetRole::kReplica, 1, 9, 5000);
    CHECK(scene.Tick().empty());
    CHECK_FALSE(scene.promoter.is_active());
  }

  SUBCASE("a leaving primary holds writes first") {
    scene.leaving = {kA};
    CHECK(scene.Tick().empty());
    const auto hold = scene.Tick();
    REQUIRE(hold.size() == 1);
    CHECK(std::get<HoldWrites>(hold[0]).target == kA);
    scene.promoter.DidReceiveHold(scene.now);
    scene.now += PromoterOptions{}.hold_settle;
    CHECK(scene.Tick().size() == 3);
  }

  SUBCASE("a leaving primary without a replica that follows stays") {
    scene.leaving = {kA};
    scene.Report(kB, TargetRole::kReplica, 0, 2, 50);
    scene.view.DidLoseTarget(kC, scene.now);
    CHECK(scene.Tick().empty());
    CHECK_FALSE(scene.promoter.is_active());
  }
}

TEST_CASE("Slow but healthy targets are not replaced for half an hour") {
  Scene scene;
  constexpr int kRounds = 30 * 60 * 10;
  for (int round = 0; round < kRounds; ++round) {
    scene.now += Milliseconds(100);
    // Heartbeats arrive up to 400 ms late, in long waves.
    const int64_t silence = 50 + (round / 600 % 2) * (round % 9) * 40;
    scene.Report(kA, TargetRole::kPrimary, 1, 10, 0);
    scene.Report(kB, TargetRole::kReplica, 1, 10, silence);
    scene.Report(kC, TargetRole::kReplica, 1, 10, 20);
    CHECK(scene.Tick().empty());
  }
  CHECK(scene.promoter.promotion_count() == 0);
}

}  // namespace kingcupmill
