#include "LibPrimary/primary_leases.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// How long open work goes on at a primary that is replaced while it works. Most
// transactions end within it; the wait of all others grows by no more.
constexpr Duration kClosingGrace = std::chrono::milliseconds(300);

}  // namespace

void PrimaryLeases::DidRead(std::span<const PrimaryRecord> records,
                            TimePoint sent_at,
                            const std::set<GroupName>& registered_groups,
                            TimePoint now) {
  for (const PrimaryRecord& record : records) {
    PrimaryRecord& known = this->record_by_group[record.group];
    // An answer that was overtaken by a newer one says nothing.
    if (record.version < known.version)
      continue;
    if (record.version > known.version) {
      const bool has_grace = record.state == PrimaryState::kClosing &&
                             record.is_planned && record.term == known.term &&
                             record.primary == known.primary;
      const auto end = this->end_by_group.find(record.group);
      if (has_grace && end != this->end_by_group.end())
        end->second = std::min(end->second, now + kClosingGrace);
      else
        this->end_by_group.erase(record.group);
      known = record;
    }
    const bool gives_lease = registered_groups.contains(record.group) &&
                             record.state == PrimaryState::kServing &&
                             sent_at >= this->earliest_read;
    if (!gives_lease)
      continue;
    TimePoint& end = this->end_by_group[record.group];
    end = std::max(end, sent_at + this->length);
  }
}

void PrimaryLeases::Drop(TimePoint now) {
  this->end_by_group.clear();
  this->earliest_read = now;
}

std::optional<PrimaryRecord> PrimaryLeases::ValidAt(const GroupName& group,
                                                    TimePoint now) const {
  const auto end = this->end_by_group.find(group);
  if (end == this->end_by_group.end() || now >= end->second)
    return std::nullopt;
  const PrimaryRecord& record = this->record_by_group.at(group);
  if (record.state != PrimaryState::kServing)
    return std::nullopt;
  return record;
}

bool PrimaryLeases::is_held(const PrimaryRecord& record, TimePoint now) const {
  const auto end = this->end_by_group.find(record.group);
  if (end == this->end_by_group.end() || now >= end->second)
    return false;
  const PrimaryRecord& newest = this->record_by_group.at(record.group);
  return newest.term == record.term && newest.primary == record.primary;
}

const PrimaryRecord* PrimaryLeases::Find(const GroupName& group) const {
  const auto found = this->record_by_group.find(group);
  return found == this->record_by_group.end() ? nullptr : &found->second;
}

TimePoint PrimaryLeases::EndOf(const GroupName& group) const {
  const auto found = this->end_by_group.find(group);
  return found == this->end_by_group.end() ? TimePoint{} : found->second;
}

}  // namespace kingcupmill
