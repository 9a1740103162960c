#ifndef LIBDIRECTORY_TARGET_ENTRY_H_
#define LIBDIRECTORY_TARGET_ENTRY_H_

#include <cstdint>
#include <string>

#include "LibCore/names.h"

namespace kingcupmill {

// Whether a target accepts new work: kLeaving while it shuts down, kUnlisted
// once its entry has expired, when only its log may still be needed.
enum class TargetState { kReady, kLeaving, kUnlisted };

// A target's own entry in the store.
struct TargetEntry {
  TargetName name;
  GroupName group;
  // "IP:port".
  std::string address;
  PlaceName place;
  TargetState state = TargetState::kReady;
  // How many statements the target runs concurrently.
  int slots = 1;
  // When the target's process started; distinguishes its restarts.
  int64_t started_at_ms = 0;
  // The role that the target itself reports.
  bool is_primary = false;
  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_TARGET_ENTRY_H_
