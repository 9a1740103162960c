#include "LibPrimary/primary_leases.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLeaseLength = seconds(6);
constexpr Duration kMaximumLeaseLength = seconds(10);
const GroupName kGroup{"orders"};

PrimaryRecord Serving(uint64_t version, uint64_t term = 1) {
  PrimaryRecord record;
  record.group = kGroup;
  record.term = Term{term};
  record.primary = TargetName{"t" + std::to_string(term)};
  record.version = version;
  return record;
}

PrimaryRecord Closing(uint64_t version, bool is_planned = false) {
  PrimaryRecord record = Serving(version);
  record.state = PrimaryState::kClosing;
  record.is_planned = is_planned;
  return record;
}

void ApplyRead(PrimaryLeases& leases,
               const PrimaryRecord& record,
               TimePoint sent_at) {
  leases.DidRead(std::span<const PrimaryRecord>(&record, 1), sent_at, {kGroup},
                 sent_at + milliseconds(5));
}

}  // namespace

TEST_CASE("leases on a primary") {
  PrimaryLeases leases(kLeaseLength, kMaximumLeaseLength);
  const TimePoint start{seconds(100)};

  SUBCASE("do not exist before a read") {
    CHECK_FALSE(leases.LeasedPrimary(kGroup, start).has_value());
  }

  SUBCASE("are not granted without registration for the group") {
    const PrimaryRecord record = Serving(3);
    leases.DidRead(std::span<const PrimaryRecord>(&record, 1), start,
                   {GroupName{"cards"}}, start);
    CHECK_FALSE(leases.LeasedPrimary(kGroup, start).has_value());
    CHECK(leases.Find(kGroup) != nullptr);
  }

  SUBCASE("last from the sending of a read that shows it as serving") {
    ApplyRead(leases, Serving(3), start);
    CHECK(leases.LeasedPrimary(kGroup, start + kLeaseLength - milliseconds(1)));
    CHECK_FALSE(leases.LeasedPrimary(kGroup, start + kLeaseLength).has_value());

    SUBCASE("are extended by a later read") {
      ApplyRead(leases, Serving(3), start + seconds(2));
      CHECK(leases.LeasedPrimary(kGroup, start + seconds(7)));
    }

    SUBCASE("ignore an answer that arrives after a newer one") {
      ApplyRead(leases, Serving(2, 9), start + seconds(2));
      CHECK(leases.Find(kGroup)->term == Term{1});
      CHECK_FALSE(leases.LeasedPrimary(kGroup, start + seconds(7)).has_value());
    }

    SUBCASE("end when a lost primary is marked as closing") {
      ApplyRead(leases, Closing(4), start + seconds(1));
      CHECK_FALSE(leases.LeasedPrimary(kGroup, start + seconds(1)).has_value());
      CHECK_FALSE(leases.is_held(Serving(3), start + seconds(1)));

      SUBCASE("and are not granted again by an older answer") {
        ApplyRead(leases, Serving(3), start + seconds(2));
        CHECK_FALSE(
            leases.LeasedPrimary(kGroup, start + seconds(2)).has_value());
      }

      SUBCASE("and are granted anew for the next primary") {
        ApplyRead(leases, Serving(5, 2), start + seconds(2));
        CHECK(leases.LeasedPrimary(kGroup, start + seconds(3))->term ==
              Term{2});
        CHECK_FALSE(leases.is_held(Serving(3), start + seconds(3)));
      }
    }

    SUBCASE("have a grace period for open requests in a planned handover") {
      ApplyRead(leases, Closing(4, true), start + seconds(1));
      const TimePoint closed = start + seconds(1) + milliseconds(5);
      CHECK_FALSE(leases.LeasedPrimary(kGroup, closed).has_value());
      CHECK(leases.is_held(Serving(3), closed + milliseconds(299)));
      CHECK_FALSE(leases.is_held(Serving(3), closed + milliseconds(300)));

      SUBCASE("which ends when the lease is released") {
        leases.Release(kGroup);
        CHECK_FALSE(leases.is_held(Serving(3), closed));
      }
    }

    SUBCASE("are extended by promises of the other homes") {
      leases.Extend(kGroup, 3, start + seconds(8));
      CHECK(leases.LeasedPrimary(kGroup, start + milliseconds(7999)));
      CHECK_FALSE(leases.LeasedPrimary(kGroup, start + seconds(8)).has_value());

      SUBCASE("but not beyond the maximum since the last read") {
        leases.Extend(kGroup, 3, start + seconds(60));
        CHECK(leases.LeasedPrimary(
            kGroup, start + kMaximumLeaseLength - milliseconds(1)));
        CHECK_FALSE(leases.LeasedPrimary(kGroup, start + kMaximumLeaseLength)
                        .has_value());
      }

      SUBCASE("until a read shows the primary as closing") {
        ApplyRead(leases, Closing(4), start + seconds(1));
        leases.Extend(kGroup, 4, start + seconds(8));
        CHECK_FALSE(
            leases.LeasedPrimary(kGroup, start + seconds(1)).has_value());
      }
    }

    SUBCASE("are not extended by promises about another version") {
      leases.Extend(kGroup, 2, start + seconds(8));
      CHECK_FALSE(leases.LeasedPrimary(kGroup, start + seconds(7)).has_value());
    }

    SUBCASE("are not extended once they were released") {
      leases.Release(kGroup);
      leases.Extend(kGroup, 3, start + seconds(8));
      CHECK_FALSE(leases.LeasedPrimary(kGroup, start + seconds(1)).has_value());
    }

    SUBCASE("after a release of all are granted only by later reads") {
      leases.ReleaseAll(start + seconds(1));
      ApplyRead(leases, Serving(3), start + milliseconds(900));
      CHECK_FALSE(leases.LeasedPrimary(kGroup, start + seconds(1)).has_value());
      ApplyRead(leases, Serving(3), start + seconds(1));
      CHECK(leases.LeasedPrimary(kGroup, start + seconds(1)));
    }
  }

  SUBCASE("are not granted on a closed version by answers in any order") {
    CHECK(rc::check("closed versions", [] {
      PrimaryLeases held(kLeaseLength, kMaximumLeaseLength);
      const TimePoint base{seconds(100)};
      const auto closed_version = *rc::gen::inRange<uint64_t>(2, 20);
      const auto versions = *rc::gen::container<std::vector<uint64_t>>(
          rc::gen::inRange<uint64_t>(1, 30));
      bool has_seen_closing = false;
      for (const uint64_t version : versions) {
        // Records below the closing version are serving; no newer ones exist.
        if (version > closed_version)
          continue;
        const bool is_closing = version == closed_version;
        has_seen_closing = has_seen_closing || is_closing;
        ApplyRead(held, is_closing ? Closing(version) : Serving(version),
                  base + milliseconds(10));
        if (has_seen_closing)
          RC_ASSERT_FALSE(held.LeasedPrimary(kGroup, base + milliseconds(20)));
      }
    }));
  }
}

}  // namespace kingcupmill
