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
// Where there are more proxies than connections, a home has this many to each
// target: statements of many proxies share them, and a transaction that rests
// on one leaves others.
constexpr int kConnectionsOfHome = 3;

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
    const bool is_everyone =
        group.shared_connections >= static_cast<int>(this->members.size());
    if (is_everyone) {
      this->chosen.insert(group.name);
      continue;
    }
    const size_t count = static_cast<size_t>(
        std::max(group.shared_connections / kConnectionsOfHome, 1));
    const std::vector<VmName> homes =
        ChooseHomes(group.name, this->members, group.places, count);
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
