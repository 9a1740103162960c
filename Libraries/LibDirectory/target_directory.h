#ifndef LIBDIRECTORY_TARGET_DIRECTORY_H_
#define LIBDIRECTORY_TARGET_DIRECTORY_H_

#include <map>
#include <optional>
#include <span>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/target_entry.h"

namespace kingcupmill {

// Tracks the known targets, given the target entries in the store over time.
class TargetDirectory {
 public:
  // Updates the targets from all readable entries in the store. `available_for`
  // is how long the store has answered without a failure, or nothing if it does
  // not. A missing target is removed only if the store has been available for a
  // while, since entries that expired during an outage of the store are still
  // missing just after it.
  void DidRead(std::span<const TargetEntry> entries,
               std::optional<Duration> available_for);

  const std::map<TargetName, TargetEntry>& targets() const {
    return this->target_by_name;
  }

 private:
  std::map<TargetName, TargetEntry> target_by_name;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_TARGET_DIRECTORY_H_
