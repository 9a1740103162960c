#ifndef LIBCOORDINATION_MEMBER_REGISTRATION_H_
#define LIBCOORDINATION_MEMBER_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <set>

#include "LibCoordination/coordination_view.h"
#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// Keeps this proxy's row among the members. It may use the primaries of the
// groups that the row names, and no others.
class MemberRegistration {
 public:
  MemberRegistration(Scheduler& scheduler,
                     RowStore& store,
                     const CoordinationView& view,
                     MemberRecord self);

  // Sets the groups whose primaries this proxy wants to use. The caller uses
  // those that are no longer among them no more.
  void SetHomeOf(std::set<GroupName> groups);

  // Writes the row when the view shows another one. Called at short intervals,
  // once the table has been read.
  void Tick();

  // Removes the row. The caller uses no primary any more.
  void Leave();

  // Whether the view shows this start of the proxy as a member.
  bool is_registered() const;

  // Returns the groups that are both wanted and shown by the view.
  std::set<GroupName> registered_groups() const;

  const MemberRecord& self() const { return this->record; }

 private:
  // The newest version of the row that the view or the store's answer showed.
  uint64_t KnownVersion() const;
  // Whether the row of an earlier start says the same but for the start.
  bool may_wait() const;

  Scheduler& scheduler;
  RowStore& store;
  const CoordinationView& view;
  MemberRecord record;
  // When this proxy first saw the row of its earlier start.
  std::optional<TimePoint> came_back_at;
  bool is_leaving = false;
  TimePoint written_at{};
  // The version that the newest write which was answered made.
  uint64_t written_version = 0;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_MEMBER_REGISTRATION_H_
