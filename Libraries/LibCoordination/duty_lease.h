#ifndef LIBCOORDINATION_DUTY_LEASE_H_
#define LIBCOORDINATION_DUTY_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "LibCoordination/coordination_view.h"
#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// The right to order promotions, which one proxy has at a time.
//
// The authority does not check epochs, so an order of a lower epoch must never
// arrive after one of a higher epoch. The holder counts its lease from the
// sending of the write that took it and sends nothing that could be under way
// at its end; a successor waits longer than that from when it saw the write.
class DutyLease {
 public:
  DutyLease(Scheduler& scheduler,
            RowStore& store,
            const CoordinationView& view,
            VmName self,
            std::string incarnation);

  // Starts to take the duty, or to extend it. At most one write is under way.
  // Does nothing while another proxy may hold it.
  void Take();

  // Gives it up.
  void Release();

  // Returns whether an order that takes up to `duration` may be sent now.
  bool is_held_for(Duration duration) const;
  bool is_held() const { return this->is_held_for(Duration(0)); }

  // Whether another proxy may still hold it.
  bool is_taken_by_other() const;

  uint64_t epoch() const { return this->held_epoch; }

 private:
  void Write(bool is_held);

  Scheduler& scheduler;
  RowStore& store;
  const CoordinationView& view;
  VmName self;
  std::string incarnation;
  uint64_t held_epoch = 0;
  TimePoint held_until{};
  // The write under way, and when it was sent.
  std::optional<std::string> pending_nonce;
  uint64_t pending_epoch = 0;
  TimePoint pending_sent_at{};
  uint64_t known_version = 0;
  uint64_t write_number = 0;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_DUTY_LEASE_H_
