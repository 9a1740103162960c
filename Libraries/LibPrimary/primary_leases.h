#ifndef LIBPRIMARY_PRIMARY_LEASES_H_
#define LIBPRIMARY_PRIMARY_LEASES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibPrimary/primary_record.h"

namespace kingcupmill {

// This proxy's leases on the primaries of its groups.
//
// A read of the store that shows a primary as serving grants a lease on it,
// which lasts for the lease length from when the store made the answer. A
// handover first marks the primary as closing and then waits until every proxy
// has released its lease or all leases have expired. A superseded primary is
// not stopped at the target, so only the leases keep its answers from callers.
//
// Leases are short, so that a handover does not wait long for a proxy that was
// lost. When the store cannot be read, a lease goes on while all other homes of
// the group promise not to start a handover, but not beyond a maximum since the
// last read: a home that registered since then has promised nothing.
class PrimaryLeases {
 public:
  // `length` is the length of a lease, `maximum_length` that of one which
  // promises have extended. Times passed to the other functions must come from
  // a clock that keeps running while the machine is suspended.
  PrimaryLeases(Duration length, Duration maximum_length)
      : length(length), maximum_length(maximum_length) {}

  // Applies the records from a read of the store that was made at `sent_at` or
  // later and received by `now`. Only `registered_groups` get leases: handovers
  // of other groups do not wait for this proxy.
  void DidRead(std::span<const PrimaryRecord> records,
               TimePoint sent_at,
               const std::set<GroupName>& registered_groups,
               TimePoint now);

  // Extends the lease on a group's primary until `until`, because all other
  // homes have promised to start no handover of the record with this version
  // before then. Has no effect on a lease that was released.
  void Extend(const GroupName& group, uint64_t version, TimePoint until);

  // Releases the lease on a group's primary, including any grace period.
  void Release(const GroupName& group) { this->expiry_by_group.erase(group); }

  // Releases all leases. Only reads sent at `now` or later grant new ones.
  void ReleaseAll(TimePoint now);

  // Returns the serving primary to which new requests may be sent at `now`, or
  // nothing without a lease on it.
  std::optional<PrimaryRecord> LeasedPrimary(const GroupName& group,
                                             TimePoint now) const;

  // Returns whether requests that started under `record` may continue at `now`.
  // This includes the grace period of a planned handover.
  bool is_held(const PrimaryRecord& record, TimePoint now) const;

  // Returns the newest record of a group with or without a lease; null when no
  // read has shown one.
  const PrimaryRecord* Find(const GroupName& group) const;

  // Returns when the lease on a group's primary expires; the zero time when
  // there is none.
  TimePoint ExpiryOf(const GroupName& group) const;

  const std::map<GroupName, PrimaryRecord>& records() const {
    return this->record_by_group;
  }

 private:
  Duration length;
  Duration maximum_length;
  TimePoint earliest_read_sent_at{};
  std::map<GroupName, PrimaryRecord> record_by_group;
  std::map<GroupName, TimePoint> expiry_by_group;
  // When the newest read that granted a lease was made.
  std::map<GroupName, TimePoint> granted_at_by_group;
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_PRIMARY_LEASES_H_
