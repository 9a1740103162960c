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
  if (!this->is_settled(now))
    return {};
  if (!std::equal(current.begin(), current.end(), this->groups.begin(),
                  this->groups.end())) {
    this->groups.assign(current.begin(), current.end());
    this->is_stale = true;
  }
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

void HomeRoles::Recompute() {
  this->chosen.clear();
  const auto self = std::find_if(
      this->members.begin(), this->members.end(), [this](const Member& member) {
        return member.peer_address == this->self_address;
      });
  if (self == this->members.end())
    return;
  for (const Group& group : this->groups) {
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
