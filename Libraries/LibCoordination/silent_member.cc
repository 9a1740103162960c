#include "LibCoordination/silent_member.h"

#include <algorithm>

namespace kingcupmill {

TimePoint LatestLeaseEnd(const SilentMember& member, const LeaseTerms& terms) {
  const TimePoint last_read =
      std::min(member.closed_at, member.excluded_at.value_or(member.closed_at));
  const Duration length =
      member.may_be_extended
          ? std::max(member.lease_length, terms.maximum_length)
          : member.lease_length;
  return last_read + length + terms.slack;
}

}  // namespace kingcupmill
