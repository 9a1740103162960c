#include "LibPrimary/primary_leases.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLength = seconds(6);
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

void Read(PrimaryLeases& leases,
          const PrimaryRecord& record,
          TimePoint sent_at) {
  leases.DidRead(std::span<const PrimaryRecord>(&record, 1), sent_at, {kGroup},
                 sent_at + milliseconds(5));
}

}  // namespace

TEST_CASE("leases on a primary") {
  PrimaryLeases leases(kLength);
  const TimePoint start{seconds(100)};

  SUBCASE("there is none before a read") {
    CHECK_FALSE(leases.ValidAt(kGroup, start).has_value());
  }

  SUBCASE("a proxy that is not registered for the group gets none") {
    const PrimaryRecord record = Serving(3);
    leases.DidRead(std::span<const PrimaryRecord>(&record, 1), start,
                   {GroupName{"cards"}}, start);
    CHECK_FALSE(leases.ValidAt(kGroup, start).has_value());
    CHECK(leases.Find(kGroup) != nullptr);
  }

  SUBCASE("a read that shows it serving gives one from its sending") {
    Read(leases, Serving(3), start);
    CHECK(leases.ValidAt(kGroup, start + kLength - milliseconds(1)));
    CHECK_FALSE(leases.ValidAt(kGroup, start + kLength).has_value());

    SUBCASE("a later read extends it") {
      Read(leases, Serving(3), start + seconds(2));
      CHECK(leases.ValidAt(kGroup, start + seconds(7)));
    }

    SUBCASE("an answer that was overtaken changes nothing") {
      Read(leases, Serving(2, 9), start + seconds(2));
      CHECK(leases.Find(kGroup)->term == Term{1});
      CHECK_FALSE(leases.ValidAt(kGroup, start + seconds(7)).has_value());
    }

    SUBCASE("it ends when the primary is lost and marked as closing") {
      Read(leases, Closing(4), start + seconds(1));
      CHECK_FALSE(leases.ValidAt(kGroup, start + seconds(1)).has_value());
      CHECK_FALSE(leases.is_held(Serving(3), start + seconds(1)));

      SUBCASE("and does not come back with an older answer") {
        Read(leases, Serving(3), start + seconds(2));
        CHECK_FALSE(leases.ValidAt(kGroup, start + seconds(2)).has_value());
      }

      SUBCASE("and is a new one for the next primary") {
        Read(leases, Serving(5, 2), start + seconds(2));
        CHECK(leases.ValidAt(kGroup, start + seconds(3))->term == Term{2});
        CHECK_FALSE(leases.is_held(Serving(3), start + seconds(3)));
      }
    }

    SUBCASE("a planned change gives open work a moment, and new work none") {
      Read(leases, Closing(4, true), start + seconds(1));
      const TimePoint closed = start + seconds(1) + milliseconds(5);
      CHECK_FALSE(leases.ValidAt(kGroup, closed).has_value());
      CHECK(leases.is_held(Serving(3), closed + milliseconds(299)));
      CHECK_FALSE(leases.is_held(Serving(3), closed + milliseconds(300)));

      SUBCASE("but never more than the lease had left") {
        leases.Stop(kGroup);
        CHECK_FALSE(leases.is_held(Serving(3), closed));
      }
    }

    SUBCASE("dropped ones come back only with reads sent afterwards") {
      leases.Drop(start + seconds(1));
      Read(leases, Serving(3), start + milliseconds(900));
      CHECK_FALSE(leases.ValidAt(kGroup, start + seconds(1)).has_value());
      Read(leases, Serving(3), start + seconds(1));
      CHECK(leases.ValidAt(kGroup, start + seconds(1)));
    }
  }

  SUBCASE("no order of answers gives a lease on a closed version") {
    CHECK(rc::check("closed versions", [] {
      PrimaryLeases held(kLength);
      const TimePoint base{seconds(100)};
      const auto closed_version = *rc::gen::inRange<uint64_t>(2, 20);
      const auto versions = *rc::gen::container<std::vector<uint64_t>>(
          rc::gen::inRange<uint64_t>(1, 30));
      bool has_seen_closing = false;
      for (const uint64_t version : versions) {
        // Versions below the closing one serve, the closing one closes, and
        // nothing newer exists yet.
        if (version > closed_version)
          continue;
        const bool is_closing = version == closed_version;
        has_seen_closing = has_seen_closing || is_closing;
        Read(held, is_closing ? Closing(version) : Serving(version),
             base + milliseconds(10));
        if (has_seen_closing)
          RC_ASSERT_FALSE(held.ValidAt(kGroup, base + milliseconds(20)));
      }
    }));
  }
}

}  // namespace kingcupmill
