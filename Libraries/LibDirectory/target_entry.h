#ifndef LIBDIRECTORY_TARGET_ENTRY_H_
#define LIBDIRECTORY_TARGET_ENTRY_H_

#include <cstdint>
#include <string>

#include "LibCore/names.h"

namespace kingcupmill {

// Whether a target takes new work.
enum class TargetState { kReady, kLeaving };

// What a target says of itself in the store.
struct TargetEntry {
  TargetName name;
  GroupName group;
  // "IP:port".
  std::string address;
  PlaceName place;
  TargetState state = TargetState::kReady;
  // How many statements it works on at a time.
  int slots = 1;
  // Tells one start of a target from the next.
  int64_t started_at_ms = 0;
  // How the target sees its own role.
  bool is_primary = false;
  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_TARGET_ENTRY_H_
