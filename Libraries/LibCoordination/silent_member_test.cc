#include "LibCoordination/silent_member.h"

#include <doctest/doctest.h>

namespace kingcupmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A VM is removed for good just before its group's primary is partitioned: the
// handover waited for a lease that the VM could no longer hold.
TEST_CASE("the lease of a lost member") {
  constexpr LeaseTerms kTerms = {.length = seconds(2),
                                 .maximum_length = seconds(7),
                                 .slack = milliseconds(300)};
  const TimePoint closed{seconds(100)};
  SilentMember member;
  member.lease_length = kTerms.length;
  member.closed_at = closed;
  member.may_be_extended = false;

  SUBCASE("ends a lease length after reads show the primary as closing") {
    CHECK(LatestLeaseEnd(member, kTerms) ==
          closed + kTerms.length + kTerms.slack);
  }

  SUBCASE("ends earlier when the member was barred before") {
    member.excluded_at = closed - seconds(5);
    CHECK(LatestLeaseEnd(member, kTerms) < closed);

    SUBCASE("but not when it was barred after the primary was closing") {
      member.excluded_at = closed + seconds(1);
      CHECK(LatestLeaseEnd(member, kTerms) ==
            closed + kTerms.length + kTerms.slack);
    }
  }

  SUBCASE("may last longer when most homes are silent") {
    member.may_be_extended = true;
    CHECK(LatestLeaseEnd(member, kTerms) ==
          closed + kTerms.maximum_length + kTerms.slack);
  }

  SUBCASE("of an earlier version lasts as long as that version states") {
    member.lease_length = seconds(7);
    CHECK(LatestLeaseEnd(member, kTerms) == closed + seconds(7) + kTerms.slack);
  }
}

}  // namespace kingcupmill
