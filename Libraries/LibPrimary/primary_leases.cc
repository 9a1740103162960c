#include "LibPrimary/primary_leases.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// How long open requests may continue at the old primary in a planned handover.
// Most transactions end within it, and it is the longest delay that it adds
// for all other requests.
constexpr Duration kClosingGracePeriod = std::chrono::milliseconds(300);

}  // namespace

void PrimaryLeases::DidRead(std::span<const PrimaryRecord> records,
                            TimePoint sent_at,
                            const std::set<GroupName>& registered_groups,
                            TimePoint now) {
  for (const PrimaryRecord& record : records) {
    PrimaryRecord& known = this->record_by_group[record.group];
    // A newer answer has arrived before this one.
    if (record.version < known.version)
      continue;
    if (record.version > known.version) {
      const bool has_grace_period =
          record.state == PrimaryState::kClosing && record.is_planned &&
          record.term == known.term && record.primary == known.primary;
      const auto expiry = this->expiry_by_group.find(record.group);
      if (has_grace_period && expiry != this->expiry_by_group.end())
        expiry->second = std::min(expiry->second, now + kClosingGracePeriod);
      else
        this->expiry_by_group.erase(record.group);
      known = record;
    }
    const bool grants_lease = registered_groups.contains(record.group) &&
                              record.state == PrimaryState::kServing &&
                              sent_at >= this->earliest_read_sent_at;
    if (!grants_lease)
      continue;
    TimePoint& expiry = this->expiry_by_group[record.group];
    expiry = std::max(expiry, sent_at + this->length);
    TimePoint& granted_at = this->granted_at_by_group[record.group];
    granted_at = std::max(granted_at, sent_at);
  }
}

void PrimaryLeases::Extend(const GroupName& group,
                           uint64_t version,
                           TimePoint until) {
  const auto expiry = this->expiry_by_group.find(group);
  if (expiry == this->expiry_by_group.end())
    return;
  const PrimaryRecord& record = this->record_by_group.at(group);
  if (record.version != version || record.state != PrimaryState::kServing)
    return;
  const TimePoint latest =
      this->granted_at_by_group.at(group) + this->maximum_length;
  expiry->second = std::max(expiry->second, std::min(until, latest));
}

void PrimaryLeases::ReleaseAll(TimePoint now) {
  this->expiry_by_group.clear();
  this->earliest_read_sent_at = now;
}

std::optional<PrimaryRecord> PrimaryLeases::LeasedPrimary(
    const GroupName& group,
    TimePoint now) const {
  const auto expiry = this->expiry_by_group.find(group);
  if (expiry == this->expiry_by_group.end() || now >= expiry->second)
    return std::nullopt;
  const PrimaryRecord& record = this->record_by_group.at(group);
  if (record.state != PrimaryState::kServing)
    return std::nullopt;
  return record;
}

bool PrimaryLeases::is_held(const PrimaryRecord& record, TimePoint now) const {
  const auto expiry = this->expiry_by_group.find(record.group);
  if (expiry == this->expiry_by_group.end() || now >= expiry->second)
    return false;
  const PrimaryRecord& newest = this->record_by_group.at(record.group);
  return newest.term == record.term && newest.primary == record.primary;
}

const PrimaryRecord* PrimaryLeases::Find(const GroupName& group) const {
  const auto found = this->record_by_group.find(group);
  return found == this->record_by_group.end() ? nullptr : &found->second;
}

TimePoint PrimaryLeases::ExpiryOf(const GroupName& group) const {
  const auto found = this->expiry_by_group.find(group);
  return found == this->expiry_by_group.end() ? TimePoint{} : found->second;
}

}  // namespace kingcupmill
