#include "LibCoordination/coordination_view.h"

#include <doctest/doctest.h>

#include "LibCoordination/coordinator_lease.h"
#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupName kGroup{"orders"};

StoreRow MemberRow(const char* address,
                   uint64_t version,
                   uint64_t written_era,
                   bool is_home = true) {
  MemberRecord member;
  member.address = address;
  if (is_home)
    member.home_of.insert(kGroup);
  return StoreRow{CoordinationView::MemberKey(address),
                  CoordinationView::Encode(member, written_era), version,
                  false};
}

StoreRow PrimaryRow(const char* primary,
                    uint64_t term,
                    uint64_t version,
                    uint64_t written_era) {
  PrimaryRecord record;
  record.group = kGroup;
  record.primary.value = primary;
  record.term.value = term;
  return StoreRow{CoordinationView::PrimaryKey(kGroup),
                  CoordinationView::Encode(record, written_era), version,
                  false};
}

TableCache::Rows Rows(std::initializer_list<StoreRow> rows) {
  TableCache::Rows by_key;
  for (const StoreRow& row : rows)
    by_key.emplace(row.key, row);
  return by_key;
}

// Applies every change and answers at once with the next version.
class AcceptingStore final : public RowStore {
 public:
  void Read(std::string_view, DidRead) override {}
  void PollChanges(std::string_view, uint64_t, Duration, DidRead) override {}
  void Change(std::string_view,
              TableChange change,
              DidChange did_change) override {
    this->changes.push_back(std::move(change));
    did_change(ChangeOutcome{true, ++this->version});
  }

  uint64_t version = MakeStoreVersion(1, 100);
  std::vector<TableChange> changes;
};

}  // namespace

TEST_CASE("the coordination table of a store that is restored") {
  CoordinationView view;
  const TimePoint start{seconds(100)};
  view.Update(Rows({PrimaryRow("b", 2, MakeStoreVersion(1, 20), 1),
                    MemberRow("one", MakeStoreVersion(1, 3), 1),
                    MemberRow("late", MakeStoreVersion(1, 21), 1)}),
              MakeStoreVersion(1, 21), start);
  REQUIRE(view.primaries().size() == 1);
  CHECK_FALSE(view.has_earlier_era());
  const TimePoint later = start + seconds(5);

  // Guards against leases on a primary that was replaced in the lost time.
  SUBCASE("has no current record until one is written in its era") {
    view.Update(Rows({PrimaryRow("a", 1, MakeStoreVersion(2, 4), 1)}),
                MakeStoreVersion(2, 9), later);
    CHECK(view.primaries().empty());
    CHECK(view.era_seen_at() == later);
    REQUIRE(view.FindRestoredPrimary(kGroup));
    CHECK(view.FindRestoredPrimary(kGroup)->primary == TargetName{"a"});
    REQUIRE(view.FindEarlierPrimary(kGroup));
    CHECK(view.FindEarlierPrimary(kGroup)->primary == TargetName{"b"});

    view.Update(Rows({PrimaryRow("b", 2, MakeStoreVersion(2, 10), 2)}),
                MakeStoreVersion(2, 10), later);
    CHECK(view.primaries().size() == 1);
    CHECK(view.FindRestoredPrimary(kGroup) == nullptr);
  }

  // Guards against a proxy that was cut off and overwrites a newer record.
  SUBCASE("may hold a newer record than this proxy has seen") {
    view.Update(Rows({PrimaryRow("c", 3, MakeStoreVersion(2, 30), 1)}),
                MakeStoreVersion(2, 35), later);
    REQUIRE(view.FindRestoredPrimary(kGroup));
    CHECK(view.FindRestoredPrimary(kGroup)->origin() >
          view.FindEarlierPrimary(kGroup)->origin());

    SUBCASE("or an older one") {
      view.Update(Rows({PrimaryRow("a", 1, MakeStoreVersion(2, 4), 1)}),
                  MakeStoreVersion(2, 36), later);
      CHECK(view.FindRestoredPrimary(kGroup)->origin() <
            view.FindEarlierPrimary(kGroup)->origin());
    }
  }

  SUBCASE("remembers the homes that were registered before") {
    view.Update(Rows({MemberRow("one", MakeStoreVersion(2, 3), 1)}),
                MakeStoreVersion(2, 9), later);
    CHECK(view.RecentHomes(kGroup) == std::set<std::string>{"late", "one"});

    SUBCASE("but not those whose rows had been removed") {
      view.Update(Rows({MemberRow("one", MakeStoreVersion(2, 3), 1),
                        MemberRow("left", MakeStoreVersion(2, 5), 1)}),
                  MakeStoreVersion(2, 9), later);
      CHECK_FALSE(view.RecentHomes(kGroup).contains("left"));
    }

    SUBCASE("and those that this proxy had not seen") {
      view.Update(Rows({MemberRow("unseen", MakeStoreVersion(2, 22), 1),
                        MemberRow("new", MakeStoreVersion(2, 10), 2)}),
                  MakeStoreVersion(2, 23), later);
      CHECK(view.RecentHomes(kGroup).contains("unseen"));
      CHECK(view.RecentHomes(kGroup).contains("new"));
    }
  }
}

TEST_CASE("the lease of the coordinator of a store that is restored") {
  VirtualScheduler scheduler;
  scheduler.RunFor(seconds(100));
  AcceptingStore store;
  CoordinationView view;
  bool are_orders_over = false;
  CoordinatorLease lease(scheduler, store, view, VmName{"vm-1"}, "one",
                         [&] { return are_orders_over; });
  CoordinatorRecord other;
  other.holder.value = "vm-2";
  other.epoch = 7;
  const StoreRow row{std::string(CoordinationView::kCoordinatorKey),
                     CoordinationView::Encode(other, 1),
                     MakeStoreVersion(1, 50), false};
  view.Update(Rows({row}), MakeStoreVersion(1, 50), scheduler.Now());
  lease.Acquire();
  REQUIRE(lease.is_held());
  const uint64_t epoch = lease.epoch();
  CHECK(epoch > 7);
  StoreRow restored = row;
  restored.version = MakeStoreVersion(2, 30);

  SUBCASE("is acquired at once by its last holder") {
    scheduler.RunFor(milliseconds(3900));
    view.Update(Rows({restored}), MakeStoreVersion(2, 30), scheduler.Now());
    CHECK(lease.was_last_holder());
    CHECK_FALSE(lease.is_held_by_other());
  }

  SUBCASE("is not acquired by its last holder while its order is on its way") {
    lease.DidSendOrder();
    view.Update(Rows({restored}), MakeStoreVersion(2, 30), scheduler.Now());
    CHECK(lease.may_have_order());
    CHECK(lease.is_held_by_other());
    scheduler.RunFor(milliseconds(2500));
    CHECK_FALSE(lease.is_held_by_other());
  }

  SUBCASE("is not acquired at once by a proxy that has released it") {
    lease.Release();
    view.Update(Rows({restored}), MakeStoreVersion(2, 30), scheduler.Now());
    CHECK_FALSE(lease.was_last_holder());
    CHECK(lease.is_held_by_other());
  }

  // Another proxy may have held it since.
  scheduler.RunFor(milliseconds(4100));
  view.Update(Rows({restored}), MakeStoreVersion(2, 30), scheduler.Now());

  SUBCASE("ends with the era") {
    CHECK_FALSE(lease.is_held());
  }

  SUBCASE("is acquired once every earlier order must have arrived") {
    CHECK(lease.is_held_by_other());
    scheduler.RunFor(milliseconds(3900));
    CHECK(lease.is_held_by_other());
    scheduler.RunFor(milliseconds(200));
    CHECK_FALSE(lease.is_held_by_other());
  }

  SUBCASE("is acquired at once if no earlier order is on its way") {
    are_orders_over = true;
    CHECK_FALSE(lease.is_held_by_other());
  }

  // Guards against two holders with the same epoch.
  SUBCASE("has a higher epoch than any before") {
    are_orders_over = true;
    scheduler.RunFor(seconds(1));
    store.version = MakeStoreVersion(2, 30);
    lease.Acquire();
    CHECK(lease.is_held());
    CHECK(lease.epoch() > epoch);
    CHECK(store.changes.back().expected[0].version == restored.version);
  }

  SUBCASE("is not held if the write took effect in another era") {
    are_orders_over = true;
    scheduler.RunFor(seconds(1));
    store.version = MakeStoreVersion(3, 30);
    lease.Acquire();
    CHECK_FALSE(lease.is_held());
  }
}

}  // namespace kingcupmill
