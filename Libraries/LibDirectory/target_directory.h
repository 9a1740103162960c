#ifndef LIBDIRECTORY_TARGET_DIRECTORY_H_
#define LIBDIRECTORY_TARGET_DIRECTORY_H_

#include <map>
#include <optional>
#include <span>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibDirectory/target_entry.h"

namespace kingcupmill {

// Decides which targets there are from what the store shows over time.
class TargetDirectory {
 public:
  // Takes all readable entries of the store. `steady_for` is how long the store
  // has answered without a failure: entries that lapsed while it was away are
  // missing for a moment after its return.
  void DidRead(std::span<const TargetEntry> entries,
               std::optional<Duration> steady_for);

  const std::map<TargetName, TargetEntry>& targets() const {
    return this->target_by_name;
  }

 private:
  std::map<TargetName, TargetEntry> target_by_name;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_TARGET_DIRECTORY_H_
