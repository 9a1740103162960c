#include "LibCoordination/lease_promises.h"

#include <doctest/doctest.h>

#include "LibCoordination/coordination_view.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupName kGroup{"orders"};
constexpr uint64_t kVersion = 9;

MemberRecord Home(const std::string& address) {
  MemberRecord member;
  member.address = address;
  member.incarnation = address + "#1";
  member.home_of = {kGroup};
  return member;
}

PromiseAnswer Promise(const MemberRecord& member, Duration duration) {
  return PromiseAnswer{member.incarnation, duration, {{kGroup, kVersion}}};
}

}  // namespace

// During an outage of the store nobody can start a handover, but a home knows
// that only of itself and of the homes that say so.
TEST_CASE("promises of most homes") {
  const TimePoint now{seconds(100)};
  LeasePromises::Members members;
  for (const char* address : {"self", "a", "b", "c", "d"})
    members.emplace(address, Home(address));
  LeasePromises promises;
  const auto until = [&] {
    return promises.PromisedUntil(kGroup, kVersion, members, "self");
  };
  promises.DidReceive("a", Promise(members.at("a"), seconds(5)), now);

  SUBCASE("extend no lease while they are not most") {
    CHECK_FALSE(until().has_value());
  }

  SUBCASE("hold as long as there are enough, from when they were asked for") {
    promises.DidReceive("b", Promise(members.at("b"), seconds(2)), now);
    CHECK(until() == now + seconds(2));

    SUBCASE("which a third one that lasts longer extends") {
      promises.DidReceive("c", Promise(members.at("c"), seconds(4)), now);
      CHECK(until() == now + seconds(4));
    }

    SUBCASE("but not for a record that one of them does not know") {
      CHECK_FALSE(promises.PromisedUntil(kGroup, kVersion + 1, members, "self")
                      .has_value());
    }

    SUBCASE("but not from a process that has since been restarted") {
      members.at("b").incarnation = "b#2";
      CHECK_FALSE(until().has_value());
    }

    SUBCASE("but not when more homes have registered") {
      members.emplace("e", Home("e"));
      CHECK_FALSE(until().has_value());
    }
  }

  SUBCASE("count homes that are barred or gone among all") {
    members.at("c").is_barred = true;
    members.at("d").is_gone = true;
    CHECK_FALSE(until().has_value());
  }

  SUBCASE("do not count homes of other groups") {
    members.at("c").home_of = {GroupName{"cards"}};
    members.at("d").home_of = {GroupName{"cards"}};
    CHECK(until() == now + seconds(5));
  }

  SUBCASE("are not needed by the only home") {
    for (const char* address : {"a", "b", "c", "d"})
      members.erase(address);
    CHECK(until().has_value());
  }

  SUBCASE("are asked for again when half of their time is over") {
    CHECK(promises.TakeDue({"a"}, now + seconds(2)).empty());
    CHECK(promises.TakeDue({"a"}, now + seconds(3)).size() == 1);
    CHECK(promises.TakeDue({"a"}, now + seconds(3)).empty());
    CHECK(
        promises.TakeDue({"a"}, now + seconds(3) + milliseconds(300)).size() ==
        1);
  }
}

}  // namespace kingcupmill
