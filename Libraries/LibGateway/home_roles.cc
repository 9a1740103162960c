#include "LibGateway/home_roles.h"

#include <algorithm>
#include <utility>

#include "LibMembership/home_set.h"

namespace kingcupmill {

namespace {

// Members that start together register within some hundred milliseconds; roles
// that are chosen before would move at once.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
// Transactions end within this, and other proxies have learnt of the new home.
constexpr Duration kRoleLinger = std::chrono::seconds(10);
// A target that crashed or is replaced is back in its place within this.
constexpr Duration kPlaceMemory = std::chrono::seconds(60);

// Returns the members beside the targets, or all when there are none: a home
// elsewhere sends each statement across places twice, and a cut of its place
// would take it from all others.
std::vector<Member> MembersAt(std::span<const Member> members,
                              const std::set<PlaceName>& places) {
  std::vector<Member> beside;
  for (const Member& member : members) {
    if (places.contains(member.place))
      beside.push_back(member);
  }
  if (beside.empty())
    beside.assign(members.begin(), members.end());
  return beside;
}

}  // namespace

HomeRoles::HomeRoles(std::string self_address)
    : self_address(std::move(self_address)) {}

void HomeRoles::DidReadMembers(
    const std::map<std::string, MemberRecord>& records,
    TimePoint now) {
  std::vector<Member> read;
  this->homes_by_group.clear();
  this->is_self_shown = false;
  for (const auto& [address, record] : records) {
    if (record.is_gone)
      continue;
    this->is_self_shown |= address == this->self_address;
    read.push_back(Member{record.vm, record.place, address});
    for (const GroupName& group : record.home_of)
      this->homes_by_group[group].push_back(Home{address, record.place});
  }
  // A row of an earlier start shows that the others are known.
  if (!std::exchange(this->has_read, true))
    this->has_settled = this->is_self_shown;
  if (read == this->members)
    return;
  this->members = std::move(read);
  this->changed_at = now;
  this->is_stale = true;
}

bool HomeRoles::is_settled(TimePoint now) {
  this->has_settled =
      this->has_settled ||
      (this->is_self_shown && now - this->changed_at >= kSettleTime);
  return this->has_settled;
}

std::set<GroupName> HomeRoles::Choose(std::span<const Group> current,
                                      TimePoint now) {
  std::vector<Group> remembered = this->WithLatePlaces(current, now);
  if (remembered != this->groups) {
    this->groups = std::move(remembered);
    this->is_stale = true;
    // Targets that start together register within some hundred milliseconds
    // too.
    if (!this->has_settled)
      this->changed_at = now;
  }
  if (!this->is_settled(now))
    return {};
  if (std::exchange(this->is_stale, false))
    this->Recompute();
  for (const GroupName& group : this->chosen)
    this->due_at[group] = now;
  std::erase_if(this->due_at, [&](const auto& due) {
    return now - due.second >= kRoleLinger;
  });
  std::set<GroupName> roles;
  for (const Group& group : this->groups) {
    if (this->due_at.contains(group.name))
      roles.insert(group.name);
  }
  return roles;
}

std::vector<HomeRoles::Group> HomeRoles::WithLatePlaces(
    std::span<const Group> current,
    TimePoint now) {
  std::vector<Group> groups(current.begin(), current.end());
  for (Group& group : groups) {
    auto& seen_at = this->place_seen_at[group.name];
    for (const PlaceName& place : group.places)
      seen_at[place] = now;
    std::erase_if(seen_at, [now](const auto& seen) {
      return now - seen.second >= kPlaceMemory;
    });
    for (const auto& [place, at] : seen_at)
      group.places.insert(place);
  }
  return groups;
}

void HomeRoles::Recompute() {
  this->chosen.clear();
  const auto self = std::find_if(
      this->members.begin(), this->members.end(), [this](const Member& member) {
        return member.peer_address == this->self_address;
      });
  if (self == this->members.end())
    return;
  for (const Group& group : this->groups) {
    // Before its targets are known there is nothing to connect to, and the
    // choice would be another one.
    if (group.places.empty())
      continue;
    if (group.shares.suffices_for_all(this->members.size())) {
      this->chosen.insert(group.name);
      continue;
    }
    const std::vector<VmName> homes =
        ChooseHomes(group.name, MembersAt(this->members, group.places),
                    group.places, group.shares.HomeCount());
    if (std::find(homes.begin(), homes.end(), self->vm) != homes.end())
      this->chosen.insert(group.name);
  }
}

std::vector<Home> HomeRoles::HomesOf(const GroupName& group) const {
  const auto homes = this->homes_by_group.find(group);
  return homes == this->homes_by_group.end() ? std::vector<Home>()
                                             : homes->second;
}

}  // namespace kingcupmill
