#include "LibGateway/store_readers.h"

#include <doctest/doctest.h>

#include <set>

namespace kingcupmill {

namespace {

const PlaceName kPlace{"accra-a"};

std::map<std::string, MemberRecord> Members(int count) {
  std::map<std::string, MemberRecord> members;
  for (int number = 0; number < count; ++number) {
    MemberRecord member;
    member.address = "10.0.0." + std::to_string(number) + ":7000";
    member.place = kPlace;
    members.emplace(member.address, member);
  }
  return members;
}

}  // namespace

TEST_CASE("store readers of a place") {
  SUBCASE("are not chosen when the place has few members") {
    CHECK(ChooseStoreReaders(Members(4), kPlace, "10.0.0.1:7000").empty());
  }

  SUBCASE("are not used by a proxy that is not a member yet") {
    CHECK(ChooseStoreReaders(Members(30), kPlace, "10.0.9.9:7000").empty());
  }

  SUBCASE("are the same two for all members of a large place") {
    const auto members = Members(30);
    std::set<std::string> readers;
    int direct = 0;
    std::set<std::string> first;
    for (const auto& [address, member] : members) {
      const auto chosen = ChooseStoreReaders(members, kPlace, address);
      direct += chosen.empty() ? 1 : 0;
      readers.insert(chosen.begin(), chosen.end());
      if (!chosen.empty())
        first.insert(chosen.front());
    }
    CHECK(readers.size() == 2);
    CHECK(direct == 2);

    SUBCASE("and each is preferred by some of the others") {
      CHECK(first.size() == 2);
    }
  }

  SUBCASE("are not members that are gone or in other places") {
    auto members = Members(30);
    const std::string own = "10.0.0.8:7000";
    const auto before = ChooseStoreReaders(members, kPlace, own);
    REQUIRE(before.size() == 2);
    members.at(before[0]).is_gone = true;
    members.at(before[1]).place = PlaceName{"tema-c"};
    for (const auto& reader : ChooseStoreReaders(members, kPlace, own)) {
      CHECK(reader != before[0]);
      CHECK(reader != before[1]);
    }
  }
}

}  // namespace kingcupmill
