#ifndef LIBCOORDINATION_COORDINATOR_LEASE_H_
#define LIBCOORDINATION_COORDINATOR_LEASE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "LibCoordination/coordination_view.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// The lease of the coordinator, the one proxy at a time that may order
// promotions.
//
// The promotion authority does not check epochs, so an order with a lower epoch
// must never arrive after one with a higher epoch. The holder's lease starts
// when it sends the write that acquires it, and the holder sends no order that
// could still be in flight when the lease expires. A successor waits longer
// than the lease, starting when it sees the holder's latest write.
//
// A lease ends with the era of the store in which it was acquired, since the
// row that shows it may be lost. Epochs of later eras are higher.
class CoordinatorLease {
 public:
  // `are_earlier_orders_over` returns whether no order of a coordinator of an
  // earlier era of the store can be on its way.
  CoordinatorLease(Scheduler& scheduler,
                   RowStore& store,
                   const CoordinationView& view,
                   VmName self,
                   std::string incarnation,
                   std::function<bool()> are_earlier_orders_over);

  // Sends a write that acquires or renews the lease. Does nothing while another
  // write is in flight, the last one is too recent, or another proxy may hold
  // the lease.
  void Acquire();

  // Stops using the lease at once and, when no write is in flight, tells the
  // other proxies so through the store.
  void Release();

  // Returns whether the lease lasts for more than `duration`, so that an order
  // with that timeout may be sent now.
  bool is_held_for(Duration duration) const;
  bool is_held() const { return this->is_held_for(Duration(0)); }

  // Records that an order is sent under this lease.
  void DidSendOrder() { this->last_order_at = this->scheduler.Now(); }
  // Returns whether an order that this proxy has sent, in any era, may still be
  // on its way.
  bool may_have_order() const;

  // Returns whether no other proxy can have held the lease after this one
  // before the store was restored.
  bool was_last_holder() const;

  // Returns whether another proxy may still hold the lease.
  bool is_held_by_other() const;

  uint64_t epoch() const { return this->held_epoch; }

 private:
  void Write(bool is_held);

  Scheduler& scheduler;
  RowStore& store;
  const CoordinationView& view;
  VmName self;
  std::string incarnation;
  std::function<bool()> are_earlier_orders_over;
  uint64_t held_epoch = 0;
  // The era of the store in which the lease was acquired.
  uint64_t held_era = 0;
  TimePoint held_until{};
  // When the newest write was sent that the store has confirmed; nothing once
  // the lease was released.
  std::optional<TimePoint> held_since;
  std::optional<TimePoint> last_order_at;
  // The write in flight; `pending_sent_at` is also the time of the last write.
  std::optional<std::string> pending_nonce;
  uint64_t pending_epoch = 0;
  uint64_t pending_era = 0;
  TimePoint pending_sent_at{};
  uint64_t known_version = 0;
  uint64_t write_number = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_COORDINATOR_LEASE_H_
