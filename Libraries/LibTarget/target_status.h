#ifndef LIBTARGET_TARGET_STATUS_H_
#define LIBTARGET_TARGET_STATUS_H_

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// The role of a target in its group.
enum class TargetRole { kReplica, kPrimary };

// The state that a target reports about itself.
struct TargetStatus {
  TargetRole role = TargetRole::kReplica;
  // The highest term that this target has granted with kSeal; a primary leads
  // this term.
  Term term;
  // The last entry in its log, whether confirmed or not.
  LogPoint last_entry;
  // The last entry that it knows to be in the logs of a majority of its group.
  // A primary whose confirmed entry is of its own term knows all acknowledged
  // entries.
  LogPoint confirmed;
  // The last position that reads on this target reflect; at most `confirmed`.
  Position visible;
  // The time since it last received a message from the primary of its term,
  // measured on its own clock.
  Duration time_since_primary_contact{0};
  friend bool operator==(const TargetStatus&, const TargetStatus&) = default;
};

}  // namespace kingcupmill

#endif  // LIBTARGET_TARGET_STATUS_H_
