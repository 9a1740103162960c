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

// Records changes and applies those that the test lets pass.
class RecordingStore final : public RowStore {
 public:
  void Read(std::string_view, DidRead) override {}
  void Follow(std::string_view, uint64_t, Duration, DidRead) override {}
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

struct World {
  explicit World(const std::string& incarnation)
      : registration(scheduler, store, view, Self(incarnation)) {}

  // The view reads a row of this proxy.
  void Show(const MemberRecord& record) {
    const std::string key = CoordinationView::MemberKey(record.address);
    this->view.Update({{key, StoreRow{key, CoordinationView::Encode(record),
                                      ++this->version, false}}},
                      this->scheduler.Now());
  }
  // The newest change takes effect.
  void ApplyNewest() {
    const TableChange::Put& put = this->store.changes.back().puts.front();
    this->view.Update(
        {{put.key, StoreRow{put.key, put.value, ++this->version, false}}},
        this->scheduler.Now());
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

TEST_CASE("a proxy's row among the members") {
  World world("second");

  SUBCASE("is written once at its first start") {
    world.TickFor(milliseconds(300));
    REQUIRE(world.store.changes.size() == 1);
    CHECK(world.store.changes[0].expected[0].version == 0);
    CHECK_FALSE(world.registration.is_registered());
    world.ApplyNewest();
    CHECK(world.registration.is_registered());
    world.TickFor(milliseconds(3000));
    CHECK(world.store.changes.size() == 1);

    SUBCASE("and again with the groups that it wants to use") {
      world.registration.SetHomeOf({kOrders});
      CHECK(world.registration.registered_groups().empty());
      world.TickFor(milliseconds(100));
      REQUIRE(world.store.changes.size() == 2);
      world.ApplyNewest();
      CHECK(world.registration.registered_groups().contains(kOrders));
    }

    SUBCASE("and removed when it leaves, which is not undone") {
      world.registration.Leave();
      REQUIRE(world.store.changes.size() == 2);
      CHECK(world.store.changes[1].removals.size() == 1);
      world.view.Update({}, world.scheduler.Now());
      world.TickFor(milliseconds(3000));
      CHECK(world.store.changes.size() == 2);
    }
  }

  SUBCASE("is changed before the view shows what was written") {
    world.TickFor(milliseconds(100));
    world.store.did_change(ChangeOutcome{true, 17});
    world.registration.SetHomeOf({kOrders});
    world.TickFor(milliseconds(100));
    REQUIRE(world.store.changes.size() == 2);
    CHECK(world.store.changes[1].expected[0].version == 17);
  }

  SUBCASE("is written again when the answer does not come") {
    world.TickFor(milliseconds(1000));
    CHECK(world.store.changes.size() == 2);
  }

  SUBCASE("names the version that it replaces") {
    MemberRecord gone = Self("first");
    gone.is_gone = true;
    world.Show(gone);
    world.TickFor(milliseconds(100));
    REQUIRE(world.store.changes.size() == 1);
    CHECK(world.store.changes[0].expected[0].version == 1);
  }
}

TEST_CASE("many proxies that come back at once") {
  World world("second");
  MemberRecord earlier = Self("first");

  SUBCASE("write at once what makes them homes") {
    world.Show(earlier);
    world.registration.SetHomeOf({kOrders});
    world.TickFor(milliseconds(100));
    CHECK(world.store.changes.size() == 1);
  }

  SUBCASE("write at once that they are homes no more") {
    earlier.home_of = {kOrders};
    world.Show(earlier);
    world.TickFor(milliseconds(100));
    CHECK(world.store.changes.size() == 1);
  }

  SUBCASE("leave the store to the homes when nothing else has changed") {
    world.Show(earlier);
    world.TickFor(milliseconds(1900));
    CHECK(world.store.changes.empty());
    world.TickFor(milliseconds(300));
    CHECK(world.store.changes.size() == 1);
  }
}

}  // namespace kingcupmill
