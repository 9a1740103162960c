#ifndef LIBCOORDINATION_MEMBER_REGISTRATION_H_
#define LIBCOORDINATION_MEMBER_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <set>

#include "LibCoordination/coordination_view.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// Maintains this proxy's member row in the coordination table. The proxy may
// use only the primaries of the groups that the row lists.
class MemberRegistration {
 public:
  MemberRegistration(Scheduler& scheduler,
                     RowStore& store,
                     const CoordinationView& view,
                     MemberRecord self);

  // Sets the groups that this proxy wants to be a home of. Before the call, the
  // caller stops using the primaries of groups that are no longer listed.
  void SetHomeGroups(std::set<GroupName> groups);

  // Writes the row if it differs from the one in the view. The owner calls this
  // at short intervals once the table has been read.
  void Tick();

  enum class Row { kRemove, kMarkAsGone };
  // Ends the registration for good. The caller must have stopped using all
  // primaries. A row that is marked as gone is removed later by others.
  void Deregister(Row change);

  // Returns whether the view has a live row with this process's incarnation.
  bool is_registered() const;

  // Returns the groups that are both wanted and listed by the row in the view.
  std::set<GroupName> registered_groups() const;

  const MemberRecord& self() const { return this->record; }

 private:
  // Returns the newest version of the row known from the view or from answers
  // of the store; zero when there is none.
  uint64_t KnownVersion() const;
  // Returns whether the view has a row that differs only in its incarnation,
  // with no groups in either.
  bool can_defer_write() const;

  Scheduler& scheduler;
  RowStore& store;
  const CoordinationView& view;
  MemberRecord record;
  // When the row of this proxy's earlier process was first seen.
  std::optional<TimePoint> restart_seen_at;
  bool is_deregistered = false;
  TimePoint last_write_at{};
  // The version of the newest write that the store confirmed.
  uint64_t confirmed_version = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_MEMBER_REGISTRATION_H_
