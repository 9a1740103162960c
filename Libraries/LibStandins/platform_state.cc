#include "LibStandins/platform_state.h"

#include <utility>

namespace kingcupmill {

PlatformRow PlatformState::ReadRow(std::string_view key) const {
  ++this->reads;
  const auto row = this->rows.find(key);
  return row == this->rows.end() ? PlatformRow{} : row->second;
}

WriteOutcome PlatformState::WriteRow(std::string_view key,
                                     std::string_view value,
                                     uint64_t expected) {
  ++this->writes;
  PlatformRow& row = this->rows[std::string(key)];
  if (row.version != expected)
    return WriteOutcome::kConflict;
  row.value = std::string(value);
  ++row.version;
  return WriteOutcome::kWritten;
}

std::optional<std::string> PlatformState::ReadBlob(
    std::string_view digest) const {
  ++this->reads;
  const auto blob = this->blobs.find(digest);
  if (blob == this->blobs.end())
    return std::nullopt;
  return blob->second;
}

void PlatformState::WriteBlob(std::string_view digest, std::string_view text) {
  ++this->writes;
  this->blobs.emplace(digest, text);
}

void PlatformState::SetVm(VmRecord record) {
  std::string name = record.name;
  this->vm_records.insert_or_assign(std::move(name), std::move(record));
}

void PlatformState::RemoveVm(std::string_view name) {
  const auto found = this->vm_records.find(name);
  if (found != this->vm_records.end())
    this->vm_records.erase(found);
}

std::vector<VmRecord> PlatformState::vms() const {
  ++this->reads;
  std::vector<VmRecord> records;
  for (const auto& [name, record] : this->vm_records)
    records.push_back(record);
  return records;
}

}  // namespace kingcupmill
