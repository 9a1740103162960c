#include "LibCoordination/coordination_view.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace kingcupmill {

using nlohmann::json;

namespace {

constexpr std::string_view kMemberPrefix = "member/";
constexpr std::string_view kPrimaryPrefix = "primary/";
constexpr std::string_view kRosterPrefix = "replicas/";

json EncodeReplicas(const ReplicaRoster& roster) {
  json replicas = json::object();
  for (const auto& [name, replica] : roster.replicas)
    replicas[name.value] = {{"address", replica.address},
                            {"place", replica.place.value},
                            {"leaving", replica.is_leaving}};
  return replicas;
}

ReplicaRoster DecodeRoster(const StoreRow& row, const json& value) {
  ReplicaRoster roster;
  roster.group.value = row.key.substr(kRosterPrefix.size());
  roster.version = row.version;
  for (const auto& [name, entry] : value.at("replicas").items()) {
    ReplicaRoster::Replica replica;
    replica.address = entry.at("address");
    replica.place.value = entry.at("place");
    replica.is_leaving = entry.at("leaving");
    roster.replicas.emplace(TargetName{name}, std::move(replica));
  }
  return roster;
}

}  // namespace

std::string CoordinationView::MemberKey(std::string_view address) {
  return std::string(kMemberPrefix) + std::string(address);
}

std::string CoordinationView::PrimaryKey(const GroupName& group) {
  return std::string(kPrimaryPrefix) + group.value;
}

std::string CoordinationView::RosterKey(const GroupName& group) {
  return std::string(kRosterPrefix) + group.value;
}

std::string CoordinationView::Encode(const ReplicaRoster& roster,
                                     uint64_t era) {
  return json{{"replicas", EncodeReplicas(roster)}, {"era", era}}.dump();
}

std::string CoordinationView::Encode(const MemberRecord& member, uint64_t era) {
  json groups = json::array();
  for (const GroupName& group : member.home_of)
    groups.push_back(group.value);
  json row{{"vm", member.vm.value},
           {"place", member.place.value},
           {"incarnation", member.incarnation},
           {"gone", member.is_gone},
           {"home_of", std::move(groups)},
           {"era", era}};
  if (member.is_barred)
    row["barred"] = true;
  if (member.lease_length)
    row["lease_ms"] = ToMilliseconds(*member.lease_length);
  return row.dump();
}

std::string CoordinationView::Encode(const PrimaryRecord& primary,
                                     uint64_t era) {
  return json{{"term", primary.term.value},
              {"primary", primary.primary.value},
              {"closing", primary.state == PrimaryState::kClosing},
              {"planned", primary.is_planned},
              {"ordered", primary.promotion_target.value},
              {"era", era}}
      .dump();
}

std::string CoordinationView::Encode(const CoordinatorRecord& coordinator,
                                     uint64_t era) {
  return json{{"holder", coordinator.holder.value},
              {"epoch", coordinator.epoch},
              {"held", coordinator.is_held},
              {"nonce", coordinator.nonce},
              {"era", era}}
      .dump();
}

void CoordinationView::DidChangeEra(TimePoint now) {
  this->era_changed_at = now;
  for (const PrimaryRecord& record : this->primary_records) {
    PrimaryRecord& earlier = this->earlier_by_group[record.group];
    if (record.version > earlier.version)
      earlier = record;
  }
  this->earlier_version = this->table_version;
  this->earlier_members = this->member_by_address;
  // The row may be absent now, and is then not decoded again.
  this->coordinator_record = CoordinatorRecord{};
}

bool CoordinationView::Update(const TableCache::Rows& rows,
                              uint64_t version,
                              TimePoint now) {
  bool is_changed = false;
  if (!this->table_version || EraOf(version) != this->era()) {
    this->DidChangeEra(now);
    is_changed = true;
  }
  this->table_version = version;
  auto known = this->version_by_key.begin();
  for (const auto& [key, row] : rows) {
    while (known != this->version_by_key.end() && known->first < key) {
      this->EraseRecord(known->first);
      known = this->version_by_key.erase(known);
      is_changed = true;
    }
    const bool is_known =
        known != this->version_by_key.end() && known->first == key;
    if (is_known && known->second == row.version) {
      ++known;
      continue;
    }
    is_changed = true;
    if (is_known)
      known->second = row.version;
    else
      known = this->version_by_key.emplace_hint(known, key, row.version);
    ++known;
    this->EraseRecord(key);
    try {
      this->DecodeRow(row, now);
    } catch (const json::exception& exception) {
      spdlog::error("event=bad_row table={} key={} error=\"{}\"", kTable, key,
                    exception.what());
    }
  }
  while (known != this->version_by_key.end()) {
    this->EraseRecord(known->first);
    known = this->version_by_key.erase(known);
    is_changed = true;
  }
  if (is_changed)
    std::erase_if(this->seen_by_address, [this](const auto& entry) {
      return !this->member_by_address.contains(entry.first);
    });
  return is_changed;
}

void CoordinationView::EraseRecord(const std::string& key) {
  if (key.starts_with(kMemberPrefix)) {
    this->member_by_address.erase(key.substr(kMemberPrefix.size()));
    return;
  }
  if (key.starts_with(kRosterPrefix)) {
    this->roster_by_group.erase(GroupName{key.substr(kRosterPrefix.size())});
    return;
  }
  if (!key.starts_with(kPrimaryPrefix))
    return;
  const GroupName group{key.substr(kPrimaryPrefix.size())};
  this->restored_by_group.erase(group);
  std::erase_if(this->primary_records, [&](const PrimaryRecord& record) {
    return record.group == group;
  });
}

const PrimaryRecord* CoordinationView::FindRestoredPrimary(
    const GroupName& group) const {
  const auto found = this->restored_by_group.find(group);
  return found == this->restored_by_group.end() ? nullptr : &found->second;
}

const ReplicaRoster* CoordinationView::FindRoster(
    const GroupName& group) const {
  const auto found = this->roster_by_group.find(group);
  return found == this->roster_by_group.end() ? nullptr : &found->second;
}

const PrimaryRecord* CoordinationView::FindEarlierPrimary(
    const GroupName& group) const {
  const auto found = this->earlier_by_group.find(group);
  return found == this->earlier_by_group.end() ? nullptr : &found->second;
}

template <typename Predicate>
std::set<std::string> CoordinationView::RecentMembers(
    Predicate is_wanted) const {
  std::set<std::string> addresses;
  for (const auto& [address, member] : this->earlier_members) {
    if (!member.is_gone && is_wanted(member))
      addresses.insert(address);
  }
  for (const auto& [address, member] : this->member_by_address) {
    // This proxy has already seen the change or removal of an older row.
    const bool is_superseded =
        this->earlier_version && member.written_era &&
        *member.written_era != this->era() &&
        NumberOf(member.version) <= NumberOf(*this->earlier_version);
    if (!is_superseded && !member.is_gone && is_wanted(member))
      addresses.insert(address);
  }
  return addresses;
}

std::set<std::string> CoordinationView::RecentHomes(
    const GroupName& group) const {
  return this->RecentMembers([&group](const MemberRecord& member) {
    return member.home_of.contains(group);
  });
}

std::set<std::string> CoordinationView::RecentHomes() const {
  return this->RecentMembers(
      [](const MemberRecord& member) { return !member.home_of.empty(); });
}

void CoordinationView::DecodeRow(const StoreRow& row, TimePoint now) {
  const json value = json::parse(row.value);
  std::optional<uint64_t> written_era;
  if (const auto era = value.find("era"); era != value.end())
    written_era = era->get<uint64_t>();
  if (row.key.starts_with(kMemberPrefix)) {
    MemberRecord member;
    member.address = row.key.substr(kMemberPrefix.size());
    member.vm.value = value.at("vm");
    member.place.value = value.at("place");
    member.incarnation = value.at("incarnation");
    member.is_gone = value.at("gone");
    member.is_barred = value.value("barred", false);
    if (const auto length = value.find("lease_ms"); length != value.end())
      member.lease_length = std::chrono::milliseconds(length->get<int64_t>());
    for (const json& group : value.at("home_of"))
      member.home_of.insert(GroupName{group.get<std::string>()});
    member.version = row.version;
    member.written_era = written_era;
    Seen& seen = this->seen_by_address[member.address];
    seen.row_at = now;
    if (seen.incarnation != member.incarnation ||
        seen.home_of != member.home_of) {
      seen.registration_at = now;
      seen.incarnation = member.incarnation;
      seen.home_of = member.home_of;
    }
    this->member_by_address.emplace(member.address, std::move(member));
    return;
  }
  if (row.key.starts_with(kPrimaryPrefix)) {
    PrimaryRecord primary;
    primary.group.value = row.key.substr(kPrimaryPrefix.size());
    primary.term.value = value.at("term");
    primary.primary.value = value.at("primary");
    primary.state = value.at("closing").get<bool>() ? PrimaryState::kClosing
                                                    : PrimaryState::kServing;
    primary.is_planned = value.at("planned");
    primary.promotion_target.value = value.at("ordered");
    primary.version = row.version;
    primary.written_era = written_era;
    if (primary.is_current())
      this->primary_records.push_back(std::move(primary));
    else
      this->restored_by_group.insert_or_assign(primary.group, primary);
    return;
  }
  if (row.key.starts_with(kRosterPrefix)) {
    ReplicaRoster roster = DecodeRoster(row, value);
    this->roster_by_group.insert_or_assign(roster.group, roster);
    return;
  }
  if (row.key == kCoordinatorKey) {
    CoordinatorRecord coordinator;
    coordinator.holder.value = value.at("holder");
    coordinator.epoch = value.at("epoch");
    coordinator.is_held = value.at("held");
    coordinator.nonce = value.at("nonce");
    coordinator.version = row.version;
    coordinator.written_era = written_era;
    if (coordinator.version != this->coordinator_record.version)
      this->coordinator_changed_at = now;
    this->coordinator_record = std::move(coordinator);
  }
}

std::optional<TimePoint> CoordinationView::member_seen_at(
    const std::string& address) const {
  const auto found = this->seen_by_address.find(address);
  if (found == this->seen_by_address.end())
    return std::nullopt;
  return found->second.row_at;
}

std::optional<TimePoint> CoordinationView::registration_seen_at(
    const std::string& address) const {
  const auto found = this->seen_by_address.find(address);
  if (found == this->seen_by_address.end())
    return std::nullopt;
  return found->second.registration_at;
}

}  // namespace kingcupmill
