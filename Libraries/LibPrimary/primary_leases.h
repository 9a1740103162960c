#ifndef LIBPRIMARY_PRIMARY_LEASES_H_
#define LIBPRIMARY_PRIMARY_LEASES_H_

#include <map>
#include <optional>
#include <set>
#include <span>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibPrimary/primary_record.h"

namespace kingcupmill {

// Decides until when this proxy may use each group's primary.
//
// A read of the store that shows a primary as serving gives the right to use it
// until the read was sent plus the length of a lease. Whoever replaces a
// primary first marks it as closing and then waits until every proxy has given
// up its lease or none can have one. Nothing at a target stops a superseded
// primary, so this is what keeps its answers away from callers.
class PrimaryLeases {
 public:
  // `length` is measured on a clock that goes on while the machine is
  // suspended.
  explicit PrimaryLeases(Duration length) : length(length) {}

  // Takes what a read that was sent at `sent_at` and answered by `now` showed.
  // The store counts this proxy among the holders of leases on the primaries of
  // `registered_groups`, so it gets none on others.
  void DidRead(std::span<const PrimaryRecord> records,
               TimePoint sent_at,
               const std::set<GroupName>& registered_groups,
               TimePoint now);

  // Gives up what is left of the lease on a primary that is being replaced.
  void Stop(const GroupName& group) { this->end_by_group.erase(group); }

  // Gives up every lease and waits for reads sent at `now` or later.
  void Drop(TimePoint now);

  // Returns the primary to which new work may be sent at `now`.
  std::optional<PrimaryRecord> ValidAt(const GroupName& group,
                                       TimePoint now) const;

  // Whether work that `record` admitted may go on at `now`.
  bool is_held(const PrimaryRecord& record, TimePoint now) const;

  // Returns the newest record, whether or not there is a lease on it.
  const PrimaryRecord* Find(const GroupName& group) const;

  // Returns when the lease on a group's primary ends; far in the past when
  // there is none.
  TimePoint EndOf(const GroupName& group) const;

  const std::map<GroupName, PrimaryRecord>& records() const {
    return this->record_by_group;
  }

 private:
  Duration length;
  TimePoint earliest_read{};
  std::map<GroupName, PrimaryRecord> record_by_group;
  std::map<GroupName, TimePoint> end_by_group;
};

}  // namespace kingcupmill

#endif  // LIBPRIMARY_PRIMARY_LEASES_H_
