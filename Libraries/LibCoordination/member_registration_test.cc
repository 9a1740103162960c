#include "LibCoordination/member_registration.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;

const GroupName kOrders{"orders"};
const std::string kAddress = "10.0.0.1:7000";

// Records changes without applying them. The test answers the newest one by
// calling `did_change`.
class RecordingStore final : public RowStore {
 public:
  void Read(std::string_view, DidRead) override {}
  void PollChanges(std::string_view, uint64_t, Duration, DidRead) override {}
  void Change(std::string_view,
              TableChange change,
              DidChange did_change) override {
    this->changes.push_back(std::move(change));
    this->did_change = std::move(did_change);
  }

  std::vector<TableChange> changes;
  DidChange did_change;
};

MemberRecord Self(const std::string& incarnation) {
  MemberRecord self;
  self.address = kAddress;
  self.vm.value = "vm-1";
  self.place.value = "place-a";
  self.incarnation = incarnation;
  return self;
}

struct Fixture {
  explicit Fixture(const std::string& incarnation)
      : registration(scheduler, store, view, Self(incarnation)) {}

  // Makes the view hold `record` as this proxy's row.
  void ShowInView(const MemberRecord& record) {
    const std::string key = CoordinationView::MemberKey(record.address);
    ++this->version;
    this->view.Update({{key, StoreRow{key, CoordinationView::Encode(record, 0),
                                      this->version, false}}},
                      this->version, this->scheduler.Now());
  }
  // Makes the view show the newest change as applied.
  void ApplyNewestChange() {
    const TableChange::Put& put = this->store.changes.back().puts.front();
    ++this->version;
    this->view.Update(
        {{put.key, StoreRow{put.key, put.value, this->version, false}}},
        this->version, this->scheduler.Now());
  }
  void TickFor(Duration duration) {
    for (Duration passed{}; passed < duration; passed += milliseconds(100)) {
      this->registration.Tick();
      this->scheduler.RunFor(milliseconds(100));
    }
  }

  VirtualScheduler scheduler;
  RecordingStore store;
  CoordinationView view;
  uint64_t version = 0;
  MemberRegistration registration;
};

}  // namespace

TEST_CASE("a proxy's member row") {
  Fixture fixture("second");

  SUBCASE("is written once at its first start") {
    fixture.TickFor(milliseconds(300));
    REQUIRE(fixture.store.changes.size() == 1);
    CHECK(fixture.store.changes[0].expected[0].version == 0);
    CHECK_FALSE(fixture.registration.is_registered());
    fixture.ApplyNewestChange();
    CHECK(fixture.registration.is_registered());
    fixture.TickFor(milliseconds(3000));
    CHECK(fixture.store.changes.size() == 1);

    SUBCASE("and again with the groups that it becomes a home of") {
      fixture.registration.SetHomeGroups({kOrders});
      CHECK(fixture.registration.registered_groups().empty());
      fixture.TickFor(milliseconds(100));
      REQUIRE(fixture.store.changes.size() == 2);
      fixture.ApplyNewestChange();
      CHECK(fixture.registration.registered_groups().contains(kOrders));
    }

    SUBCASE("and is removed for good when the proxy deregisters") {
      fixture.registration.Deregister(MemberRegistration::Row::kRemove);
      REQUIRE(fixture.store.changes.size() == 2);
      CHECK(fixture.store.changes[1].removals.size() == 1);
      fixture.view.Update({}, ++fixture.version, fixture.scheduler.Now());
      fixture.TickFor(milliseconds(3000));
      CHECK(fixture.store.changes.size() == 2);
    }
  }

  SUBCASE("is changed on top of a confirmed write that the view lacks") {
    fixture.TickFor(milliseconds(100));
    fixture.store.did_change(ChangeOutcome{true, 17});
    fixture.registration.SetHomeGroups({kOrders});
    fixture.TickFor(milliseconds(100));
    REQUIRE(fixture.store.changes.size() == 2);
    CHECK(fixture.store.changes[1].expected[0].version == 17);
  }

  SUBCASE("is written again when the store does not answer") {
    fixture.TickFor(milliseconds(1000));
    CHECK(fixture.store.changes.size() == 2);
  }

  SUBCASE("is written with the version that it replaces as condition") {
    MemberRecord gone = Self("first");
    gone.is_gone = true;
    fixture.ShowInView(gone);
    fixture.TickFor(milliseconds(100));
    REQUIRE(fixture.store.changes.size() == 1);
    CHECK(fixture.store.changes[0].expected[0].version == 1);
  }
}

TEST_CASE("proxies that restart at the same time") {
  Fixture fixture("second");
  MemberRecord earlier = Self("first");

  SUBCASE("write their rows immediately when they become homes") {
    fixture.ShowInView(earlier);
    fixture.registration.SetHomeGroups({kOrders});
    fixture.TickFor(milliseconds(100));
    CHECK(fixture.store.changes.size() == 1);
  }

  SUBCASE("write their rows immediately when they stop being homes") {
    earlier.home_of = {kOrders};
    fixture.ShowInView(earlier);
    fixture.TickFor(milliseconds(100));
    CHECK(fixture.store.changes.size() == 1);
  }

  SUBCASE("delay rows that differ only in incarnation, so homes go first") {
    fixture.ShowInView(earlier);
    fixture.TickFor(milliseconds(1900));
    CHECK(fixture.store.changes.empty());
    fixture.TickFor(milliseconds(300));
    CHECK(fixture.store.changes.size() == 1);
  }
}

}  // namespace kingcupmill
