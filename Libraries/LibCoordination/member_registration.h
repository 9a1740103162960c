#ifndef LIBCOORDINATION_MEMBER_REGISTRATION_H_
#define LIBCOORDINATION_MEMBER_REGISTRATION_H_

#include "LibCoordination/coordination_view.h"
#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// Keeps this proxy's row among the members, without which it may use no
// primary.
class MemberRegistration {
 public:
  MemberRegistration(Scheduler& scheduler,
                     RowStore& store,
                     const CoordinationView& view,
                     MemberRecord self);

  // Writes the row when the view does not show it. Called at short intervals.
  void Tick();

  // Removes the row. The caller uses no primary any more.
  void Leave();

  // Whether the view shows this start of the proxy as a member.
  bool is_registered() const;

  const MemberRecord& self() const { return this->record; }

 private:
  Scheduler& scheduler;
  RowStore& store;
  const CoordinationView& view;
  MemberRecord record;
  bool is_leaving = false;
  TimePoint written_at{};
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_MEMBER_REGISTRATION_H_
