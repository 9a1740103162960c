#ifndef LIBCOORDINATION_SILENT_MEMBER_H_
#define LIBCOORDINATION_SILENT_MEMBER_H_

#include <optional>

#include "LibCore/time.h"
#include "LibPrimary/lease_terms.h"

namespace kingcupmill {

// What a coordinator knows of the lease of a member that does not answer.
struct SilentMember {
  // How long a read of the store entitles the member to use a primary.
  Duration lease_length{};
  // When the store was known to hold the primary's record as closing. Reads
  // made later grant the member nothing.
  TimePoint closed_at{};
  // When the member was known to be barred or marked as gone, which also ends
  // its leases; nothing while it is neither.
  std::optional<TimePoint> excluded_at;
  // Whether the homes that have not stopped may be most of those that the
  // member knows, so that they may extend each other's leases.
  bool may_be_extended = true;
};

// Returns when the member certainly holds no lease any more.
TimePoint LatestLeaseEnd(const SilentMember& member, const LeaseTerms& terms);

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_SILENT_MEMBER_H_
