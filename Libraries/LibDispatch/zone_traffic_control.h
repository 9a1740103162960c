#ifndef LIBDISPATCH_ZONE_TRAFFIC_CONTROL_H_
#define LIBDISPATCH_ZONE_TRAFFIC_CONTROL_H_

#include <functional>
#include <memory>
#include <optional>

#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/Forward.h"
#include "LibDispatch/read_targets.h"
#include "LibDispatch/zone_balancer.h"
#include "LibDispatch/zone_traffic.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// Applies the decisions of a ZoneBalancer to the reads of one group, and gives
// it the measurements. With a fixed penalty it measures only.
class ZoneTrafficControl {
 public:
  // `dispatch` starts the queued requests that can be started.
  ZoneTrafficControl(Scheduler& scheduler,
                     EventLog& event_log,
                     GroupName group,
                     PlaceName place,
                     ZoneTrafficOptions options,
                     std::function<void()> dispatch);

  // Returns the target of a read, or null if it waits for a connection.
  std::shared_ptr<TargetView> Choose(const ReadTargets& targets,
                                     const DispatchRequest& request);
  void DidSend(const DispatchRequest& request, const TargetView& target);
  // Records the answer of a target to a request, or that it was lost.
  void DidEnd(const DispatchRequest& request,
              const TargetView& target,
              const std::optional<StatementAnswer>& answer);
  // Logs when the zone has become busy or calm.
  void Tick();

  const ZoneBalancer& balancer() const { return this->zone_balancer; }

 private:
  bool is_elsewhere(const TargetView& target) const;

  Scheduler& scheduler;
  EventLog& event_log;
  GroupName group;
  PlaceName place;
  ZoneTraffic traffic;
  std::function<void()> dispatch;
  ZoneBalancer zone_balancer;
  bool was_home_busy = false;
  bool is_hold_timer_set = false;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_ZONE_TRAFFIC_CONTROL_H_
