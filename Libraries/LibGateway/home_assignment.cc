#include "LibGateway/home_assignment.h"

#include <algorithm>
#include <utility>

#include "LibMembership/home_set.h"

namespace kingcupmill {

namespace {

// Members that start together register within a few hundred milliseconds; homes
// chosen earlier would move immediately.
constexpr Duration kSettleDelay = std::chrono::milliseconds(500);
// Within this time, transactions end and other proxies learn of the new home.
constexpr Duration kHomeRetention = std::chrono::seconds(10);
// A target that crashed or was replaced is back in its place within this time.
constexpr Duration kPlaceRetention = std::chrono::seconds(60);

// Returns the members in the places of the targets, or all members when there
// are none. With a home in another place, each statement would cross places
// twice, and a network partition of that place would make the home unreachable
// for all other proxies.
std::vector<Member> MembersAt(std::span<const Member> members,
                              const std::set<PlaceName>& places) {
  std::vector<Member> local;
  for (const Member& member : members) {
    if (places.contains(member.place))
      local.push_back(member);
  }
  if (local.empty())
    local.assign(members.begin(), members.end());
  return local;
}

}  // namespace

HomeAssignment::HomeAssignment(std::string self_address)
    : self_address(std::move(self_address)) {}

void HomeAssignment::DidReadMembers(
    const std::map<std::string, MemberRecord>& records,
    TimePoint now) {
  std::vector<Member> read;
  this->homes_by_group.clear();
  this->is_self_registered = false;
  for (const auto& [address, record] : records) {
    if (record.is_gone)
      continue;
    this->is_self_registered |= address == this->self_address;
    read.push_back(Member{record.vm, record.place, address});
    for (const GroupName& group : record.home_of)
      this->homes_by_group[group].push_back(Home{address, record.place});
  }
  // A row from an earlier start of this proxy shows that the other members have
  // had time to register, so there is no need to wait for them.
  if (!std::exchange(this->has_read, true))
    this->has_settled = this->is_self_registered;
  if (read == this->members)
    return;
  this->members = std::move(read);
  this->changed_at = now;
  this->needs_recompute = true;
}

bool HomeAssignment::is_settled(TimePoint now) {
  this->has_settled =
      this->has_settled ||
      (this->is_self_registered && now - this->changed_at >= kSettleDelay);
  return this->has_settled;
}

std::set<GroupName> HomeAssignment::Choose(std::span<const Group> current,
                                           TimePoint now) {
  std::vector<Group> with_recent = this->WithRecentPlaces(current, now);
  if (with_recent != this->groups) {
    this->groups = std::move(with_recent);
    this->needs_recompute = true;
    // Targets that start together also register within a few hundred
    // milliseconds.
    if (!this->has_settled)
      this->changed_at = now;
  }
  if (!this->is_settled(now))
    return {};
  if (std::exchange(this->needs_recompute, false))
    this->Recompute();
  for (const GroupName& group : this->chosen)
    this->last_chosen_at[group] = now;
  std::erase_if(this->last_chosen_at, [&](const auto& entry) {
    return now - entry.second >= kHomeRetention;
  });
  std::set<GroupName> homes;
  for (const Group& group : this->groups) {
    if (this->last_chosen_at.contains(group.name))
      homes.insert(group.name);
  }
  return homes;
}

std::vector<HomeAssignment::Group> HomeAssignment::WithRecentPlaces(
    std::span<const Group> current,
    TimePoint now) {
  std::vector<Group> groups(current.begin(), current.end());
  for (Group& group : groups) {
    auto& seen_at = this->place_seen_at[group.name];
    for (const PlaceName& place : group.places)
      seen_at[place] = now;
    std::erase_if(seen_at, [now](const auto& seen) {
      return now - seen.second >= kPlaceRetention;
    });
    for (const auto& [place, at] : seen_at)
      group.places.insert(place);
  }
  return groups;
}

void HomeAssignment::Recompute() {
  this->chosen.clear();
  const auto self = std::find_if(
      this->members.begin(), this->members.end(), [this](const Member& member) {
        return member.peer_address == this->self_address;
      });
  if (self == this->members.end())
    return;
  for (const Group& group : this->groups) {
    // Without known targets there is nothing to connect to, and the choice
    // would change once they are known.
    if (group.places.empty())
      continue;
    if (group.shares.can_all_be_homes(this->members.size())) {
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

std::vector<Home> HomeAssignment::HomesOf(const GroupName& group) const {
  const auto homes = this->homes_by_group.find(group);
  return homes == this->homes_by_group.end() ? std::vector<Home>()
                                             : homes->second;
}

}  // namespace kingcupmill
