#include "LibCoordination/roster_keeper.h"

#include <doctest/doctest.h>

namespace kingcupmill {

namespace {

TargetEntry Entry(const char* name, const char* address) {
  TargetEntry entry;
  entry.name = TargetName{name};
  entry.address = address;
  return entry;
}

ReplicaRoster::Replica Replica(const char* address) {
  ReplicaRoster::Replica replica;
  replica.address = address;
  replica.place = PlaceName{"place-a"};
  return replica;
}

}  // namespace

TEST_CASE("roster of replicas") {
  ReplicaRoster roster;
  roster.group = GroupName{"group"};
  roster.replicas.emplace(TargetName{"a"}, Replica("10.0.0.1:1"));
  roster.replicas.emplace(TargetName{"b"}, Replica("10.0.0.2:1"));
  std::vector<TargetEntry> listed = {Entry("a", "10.0.0.1:1")};

  SUBCASE("shows a target whose entry has expired") {
    CHECK(RosterKeeper::Unlisted(&roster, listed).size() == 1);
    CHECK(RosterKeeper::Unlisted(&roster, listed).contains(TargetName{"b"}));

    SUBCASE("until it is listed again") {
      listed.push_back(Entry("b", "10.0.0.2:1"));
      CHECK(RosterKeeper::Unlisted(&roster, listed).empty());
    }
    SUBCASE("also when another one has its address, which has no log of it") {
      listed.push_back(Entry("c", "10.0.0.2:1"));
      CHECK(RosterKeeper::Unlisted(&roster, listed).contains(TargetName{"b"}));
    }
    SUBCASE("unless it was leaving and its log was moved to another one") {
      roster.replicas.at(TargetName{"b"}).is_leaving = true;
      CHECK(RosterKeeper::Unlisted(&roster, listed).size() == 1);
      listed.push_back(Entry("c", "10.0.0.2:1"));
      CHECK(RosterKeeper::Unlisted(&roster, listed).empty());
    }
  }

  SUBCASE("is read from the store as it was written") {
    roster.replicas.at(TargetName{"b"}).is_leaving = true;
    TableCache::Rows rows;
    const std::string key = CoordinationView::RosterKey(roster.group);
    rows.emplace(key, StoreRow{key, CoordinationView::Encode(roster, 1), 7});
    CoordinationView view;
    view.Update(rows, 7, TimePoint{});
    REQUIRE(view.FindRoster(roster.group));
    CHECK(view.FindRoster(roster.group)->replicas == roster.replicas);
    CHECK(view.FindRoster(roster.group)->version == 7);

    SUBCASE("and forgotten when its row is removed") {
      view.Update({}, 8, TimePoint{});
      CHECK(view.FindRoster(roster.group) == nullptr);
    }
  }
}

}  // namespace kingcupmill
