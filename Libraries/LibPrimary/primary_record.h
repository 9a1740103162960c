#ifndef LIBPRIMARY_PRIMARY_RECORD_H_
#define LIBPRIMARY_PRIMARY_RECORD_H_

#include <cstdint>

#include "LibCore/names.h"

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
  friend bool operator==(const PrimaryRecord&, const PrimaryRecord&) = default;
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_PRIMARY_RECORD_H_
