#include "LibGateway/home_assignment.h"

#include <doctest/doctest.h>

#include <string>

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupName kGroup{"orders"};

std::string AddressOf(int number) {
  return "10.0.0." + std::to_string(number) + ":7000";
}

std::map<std::string, MemberRecord> Members(int count) {
  std::map<std::string, MemberRecord> members;
  for (int number = 1; number <= count; ++number) {
    MemberRecord member;
    member.address = AddressOf(number);
    member.vm.value = "vm-" + std::to_string(number);
    member.place.value = "place-" + std::to_string(number % 3);
    members.emplace(member.address, member);
  }
  return members;
}

std::vector<HomeAssignment::Group> Groups(int connections) {
  return {HomeAssignment::Group{
      kGroup,
      ConnectionShares(connections),
      {PlaceName{"place-0"}, PlaceName{"place-1"}, PlaceName{"place-2"}}}};
}

int CountHomes(const std::map<std::string, MemberRecord>& members,
               int connections) {
  int homes = 0;
  for (const auto& [address, member] : members) {
    HomeAssignment assignment(address);
    assignment.DidReadMembers(members, TimePoint{});
    homes += static_cast<int>(
        assignment.Choose(Groups(connections), TimePoint{}).size());
  }
  return homes;
}

}  // namespace

TEST_CASE("homes of a group") {
  const TimePoint start{seconds(100)};

  SUBCASE("are all proxies while the connection limit allows it") {
    CHECK(CountHomes(Members(7), 16) == 7);
  }

  SUBCASE("are a few of many proxies") {
    CHECK(CountHomes(Members(89), 107) == 13);

    SUBCASE("as many for any number of proxies") {
      CHECK(CountHomes(Members(300), 107) == 13);
    }
  }

  SUBCASE("are in the places of its targets") {
    auto members = Members(100);
    for (auto& [address, member] : members) {
      if (std::stoi(member.vm.value.substr(3)) % 2 == 0)
        member.place.value = "place-without-target";
    }
    CHECK(CountHomes(members, 107) == 13);
    for (const auto& [address, member] : members) {
      HomeAssignment assignment(address);
      assignment.DidReadMembers(members, start);
      if (member.place.value == "place-without-target")
        CHECK(assignment.Choose(Groups(107), start).empty());
    }
  }

  SUBCASE("are not chosen before the targets are known") {
    HomeAssignment assignment(AddressOf(1));
    assignment.DidReadMembers(Members(7), start);
    std::vector<HomeAssignment::Group> groups = Groups(16);
    groups[0].places.clear();
    CHECK(assignment.Choose(groups, start).empty());
    CHECK(assignment.Choose(Groups(16), start).size() == 1);
  }

  SUBCASE("stay in a place while its target restarts") {
    const auto members = Members(100);
    std::vector<HomeAssignment::Group> groups_without_place = Groups(88);
    groups_without_place[0].places.erase(PlaceName{"place-2"});
    int homes_there = 0;
    for (const auto& [address, member] : members) {
      HomeAssignment assignment(address);
      assignment.DidReadMembers(members, start);
      const auto before = assignment.Choose(Groups(88), start);
      CHECK(assignment.Choose(groups_without_place, start + seconds(30)) ==
            before);
      if (member.place != PlaceName{"place-2"} || before.empty())
        continue;
      ++homes_there;
      // Past the retention of the place and then that of the home.
      assignment.Choose(groups_without_place, start + seconds(61));
      CHECK(
          assignment.Choose(groups_without_place, start + seconds(75)).empty());
    }
    CHECK(homes_there > 0);
  }

  SUBCASE("are chosen only after the members have settled") {
    HomeAssignment assignment(AddressOf(1));
    assignment.DidReadMembers({}, start);
    CHECK(assignment.Choose(Groups(16), start).empty());
    assignment.DidReadMembers(Members(2), start + milliseconds(100));
    CHECK(assignment.Choose(Groups(16), start + milliseconds(200)).empty());
    CHECK(assignment.Choose(Groups(16), start + milliseconds(700)).size() == 1);
  }

  SUBCASE("are chosen immediately by a proxy that was a member before") {
    HomeAssignment assignment(AddressOf(1));
    assignment.DidReadMembers(Members(7), start);
    CHECK(assignment.Choose(Groups(16), start).size() == 1);
  }

  SUBCASE("do not count members that are gone") {
    auto members = Members(2);
    members.at(AddressOf(2)).is_gone = true;
    HomeAssignment assignment(AddressOf(2));
    assignment.DidReadMembers(members, start);
    CHECK(assignment.Choose(Groups(16), start + seconds(1)).empty());
  }

  SUBCASE("keep serving for a while after the group moves to another proxy") {
    // A single proxy is a home; among 300 the hash chooses others.
    HomeAssignment assignment(AddressOf(1));
    assignment.DidReadMembers(Members(1), start);
    REQUIRE(assignment.Choose(Groups(8), start).size() == 1);
    assignment.DidReadMembers(Members(300), start + seconds(1));
    HomeAssignment fresh(AddressOf(1));
    fresh.DidReadMembers(Members(300), start);
    REQUIRE(fresh.Choose(Groups(8), start).empty());
    CHECK(assignment.Choose(Groups(8), start + seconds(2)).size() == 1);
    CHECK(assignment.Choose(Groups(8), start + seconds(20)).empty());
  }

  SUBCASE("are those named in the store's member rows") {
    auto members = Members(3);
    members.at(AddressOf(2)).home_of = {kGroup};
    HomeAssignment assignment(AddressOf(1));
    assignment.DidReadMembers(members, start);
    REQUIRE(assignment.HomesOf(kGroup).size() == 1);
    CHECK(assignment.HomesOf(kGroup)[0].address == AddressOf(2));
  }
}

}  // namespace kingcupmill
