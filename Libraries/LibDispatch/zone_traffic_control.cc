#include "LibDispatch/zone_traffic_control.h"

#include <optional>
#include <string>
#include <utility>

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/event_log.h"
#include "LibDispatch/target_view.h"

namespace kingcupmill {

ZoneTrafficControl::ZoneTrafficControl(Scheduler& scheduler,
                                       EventLog& event_log,
                                       GroupName group,
                                       PlaceName place,
                                       ZoneTrafficOptions options,
                                       std::function<void()> dispatch)
    : scheduler(scheduler),
      event_log(event_log),
      group(std::move(group)),
      place(std::move(place)),
      traffic(options.traffic),
      dispatch(std::move(dispatch)),
      zone_balancer(options.seed +
                    std::hash<std::string>()(this->group.value)) {}

bool ZoneTrafficControl::is_elsewhere(const TargetView& target) const {
  return target.entry.place != this->place;
}

std::shared_ptr<TargetView> ZoneTrafficControl::Choose(
    const ReadTargets& targets,
    const DispatchRequest& request) {
  if (this->traffic == ZoneTraffic::kFixedPenalty || !targets.best)
    return targets.best;
  const TimePoint now = this->scheduler.Now();
  const ZoneBalancer::Pick pick{targets.best_cost,
                                this->is_elsewhere(*targets.best),
                                targets.best->has_recent_latency(now)};
  std::optional<Duration> busy_cost;
  // A target without any connection may not have one soon.
  if (targets.best_without_connection &&
      targets.best_without_connection->pool->open_count() > 0)
    busy_cost = targets.best_cost_without_connection;
  switch (this->zone_balancer.Decide(pick, busy_cost,
                                     targets.best_at_home != nullptr,
                                     now - request.received_at, now)) {
    case ZoneBalancer::Decision::kTakePick:
      return targets.best;
    case ZoneBalancer::Decision::kStay:
      return targets.best_at_home;
    case ZoneBalancer::Decision::kWait:
      break;
  }
  // The connection that it waits for may not become free.
  if (!std::exchange(this->is_hold_timer_set, true))
    this->scheduler.PostAfter(ZoneBalancer::kMaximumHold,
                              this->life.Wrap([this] {
                                this->is_hold_timer_set = false;
                                this->dispatch();
                              }));
  return nullptr;
}

void ZoneTrafficControl::DidSend(const DispatchRequest& request,
                                 const TargetView& target) {
  if (!request.needs_primary)
    this->zone_balancer.DidSend(this->is_elsewhere(target));
}

void ZoneTrafficControl::DidEnd(const DispatchRequest& request,
                                const TargetView& target,
                                const std::optional<StatementAnswer>& answer) {
  if (request.needs_primary || request.opens_transaction)
    return;
  const bool is_elsewhere = this->is_elsewhere(target);
  if (answer && !answer->error) {
    const TimePoint now = this->scheduler.Now();
    this->zone_balancer.DidAnswer(is_elsewhere, now - request.received_at, now);
    return;
  }
  // Other errors are about the statement.
  const bool is_fault = !answer ||
                        answer->error->code == StatementErrorCode::kBusy ||
                        answer->error->code == StatementErrorCode::kLagging ||
                        answer->error->code == StatementErrorCode::kTimeout;
  if (is_elsewhere && is_fault)
    this->zone_balancer.DidFailElsewhere();
}

void ZoneTrafficControl::Tick() {
  const bool is_home_busy = this->traffic == ZoneTraffic::kAdaptive &&
                            this->zone_balancer.is_home_busy();
  if (std::exchange(this->was_home_busy, is_home_busy) == is_home_busy)
    return;
  this->event_log.Write(
      EventLog::Kind::kStateChange,
      "event=zone_busy group={} busy={} home_ms={:.1f} elsewhere_ms={:.1f} "
      "share={:.2f}",
      this->group.value, is_home_busy, this->zone_balancer.home_ms(),
      this->zone_balancer.elsewhere_ms(), this->zone_balancer.actual_share());
}

}  // namespace kingcupmill
