#include "LibDirectory/target_directory.h"

#include <spdlog/spdlog.h>

#include <set>

namespace kingcupmill {

namespace {

// Entries that expired during an outage of the store are back within about two
// seconds after it.
constexpr Duration kEntryRecoveryTime = std::chrono::milliseconds(2500);

}  // namespace

void TargetDirectory::DidRead(std::span<const TargetEntry> entries,
                              std::optional<Duration> available_for) {
  std::set<TargetName> present;
  for (const TargetEntry& entry : entries) {
    present.insert(entry.name);
    const auto found = this->target_by_name.find(entry.name);
    const bool is_new = found == this->target_by_name.end();
    if (is_new || found->second != entry) {
      spdlog::info(
          "event=target_changed target={} group={} address={} place={} "
          "state={} primary={} started={}",
          entry.name.value, entry.group.value, entry.address, entry.place.value,
          entry.state == TargetState::kReady ? "ready" : "leaving",
          entry.is_primary, entry.started_at_ms);
      this->target_by_name.insert_or_assign(entry.name, entry);
    }
  }
  if (!available_for || *available_for < kEntryRecoveryTime)
    return;
  std::erase_if(this->target_by_name, [&](const auto& entry) {
    if (present.contains(entry.first))
      return false;
    spdlog::info("event=target_gone target={} group={}", entry.first.value,
                 entry.second.group.value);
    return true;
  });
}

}  // namespace kingcupmill
