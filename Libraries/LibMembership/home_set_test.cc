#include "LibMembership/home_set.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace kingcupmill {

namespace {

std::vector<Member> MakeMembers(size_t count) {
  const PlaceName places[] = {{"a"}, {"b"}, {"c"}};
  std::vector<Member> members;
  for (size_t index = 0; index < count; ++index) {
    members.push_back(Member{VmName{"vm-" + std::to_string(index)},
                             places[index % 3], "", VmState::kLive});
  }
  return members;
}

}  // namespace

TEST_CASE("every proxy chooses the same homes for a group") {
  const GroupName group{"restock-1"};
  const std::set<PlaceName> places = {PlaceName{"a"}, PlaceName{"b"},
                                      PlaceName{"c"}};

  SUBCASE("regardless of the order of its member list") {
    auto members = MakeMembers(30);
    const auto homes = ChooseHomes(group, members, places, 4);
    std::reverse(members.begin(), members.end());
    CHECK(ChooseHomes(group, members, places, 4) == homes);
    CHECK(homes.size() == 4);
  }
  SUBCASE("with one in each availability zone that has a target") {
    CHECK(rc::check([&](uint8_t extra) {
      const auto members = MakeMembers(3U + extra);
      const auto homes = ChooseHomes(group, members, places, 2);
      std::set<PlaceName> covered;
      for (const Member& member : members) {
        if (std::find(homes.begin(), homes.end(), member.vm) != homes.end())
          covered.insert(member.place);
      }
      RC_ASSERT(covered == places);
    }));
  }
  SUBCASE("and replaces only the VM that leaves") {
    auto members = MakeMembers(30);
    const auto before = ChooseHomes(group, members, places, 4);
    for (Member& member : members) {
      if (member.vm == before[1])
        member.state = VmState::kLeaving;
    }
    const auto after = ChooseHomes(group, members, places, 4);
    size_t kept = 0;
    for (const VmName& home : after)
      kept += std::count(before.begin(), before.end(), home);
    CHECK(kept == 3);
    CHECK(std::count(after.begin(), after.end(), before[1]) == 0);
  }
  SUBCASE("and chooses leaving VMs when all VMs leave") {
    auto members = MakeMembers(3);
    for (Member& member : members)
      member.state = VmState::kLeaving;
    CHECK(ChooseHomes(group, members, places, 4).size() == 3);
  }
}

}  // namespace kingcupmill
