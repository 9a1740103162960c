#ifndef LIBPRIMARY_PRIMARY_RECORD_H_
#define LIBPRIMARY_PRIMARY_RECORD_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "LibCore/names.h"
#include "LibTables/store_version.h"

namespace kingcupmill {

// Whether proxies may use the primary of a group.
enum class PrimaryState {
  kServing,
  // A handover is in progress, and proxies must stop using the primary.
  kClosing,
};

// The row of a group's primary in the coordination table of the store.
struct PrimaryRecord {
  GroupName group;
  Term term;
  TargetName primary;
  PrimaryState state = PrimaryState::kServing;
  // The primary is replaced while it still works, so open transactions get a
  // short grace period.
  bool is_planned = false;
  // While closing, the target whose promotion was last ordered, or is about to
  // be; otherwise empty. No other target can be primary in a later term.
  TargetName promotion_target;
  // The version of the store in which the row was written.
  uint64_t version = 0;
  // The era of the store in which the row was written; nothing in rows of
  // earlier versions of this program.
  std::optional<uint64_t> written_era;

  // Returns whether the row was written in the era in which it was read. Any
  // other row was restored from a backup, and the primary may have been
  // replaced since.
  bool is_current() const {
    return !this->written_era || *this->written_era == EraOf(this->version);
  }

  // Returns the era and the number of the version in which the row was written,
  // also for one that was restored. The greater one is the newer record.
  std::pair<uint64_t, uint64_t> origin() const {
    return {this->written_era.value_or(EraOf(this->version)),
            NumberOf(this->version)};
  }
  friend bool operator==(const PrimaryRecord&, const PrimaryRecord&) = default;
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_PRIMARY_RECORD_H_
