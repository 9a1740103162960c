#include "LibRequests/group_monitor.h"

#include <utility>

#include "LibCore/decision_log.h"
#include "LibCore/verify.h"
#include "LibRequests/request_ledger.h"

namespace kingcupmill {

namespace {

const char* ToString(PromotionReason reason) {
  switch (reason) {
    case PromotionReason::kNone:
      return "none";
    case PromotionReason::kNoPrimary:
      return "no primary";
    case PromotionReason::kPrimarySilent:
      return "replicas receive no heartbeats from the primary";
    case PromotionReason::kPrimaryUnreachable:
      return "primary unreachable";
    case PromotionReason::kPrimaryLeaving:
      return "primary leaving";
  }
  return "none";
}

std::string JoinNames(std::span<const TargetName> names) {
  std::string text;
  for (const TargetName& name : names)
    text += (text.empty() ? "" : " ") + name.value;
  return text;
}

}  // namespace

GroupMonitor::GroupMonitor(Scheduler& scheduler,
                           TargetConnector& connector,
                           const DecisionLog& log,
                           SeededRandom& random,
                           const GroupOptions& options,
                           DidPromote did_promote)
    : scheduler(scheduler),
      log(log),
      options(options),
      did_promote(std::move(did_promote)),
      group_view(options.members, options.staleness_tracker),
      promoter(options.promoter, random) {
  for (const TargetName& member : options.members) {
    this->pools.emplace(
        member, std::make_unique<TargetPool>(
                    scheduler, connector, member, options.pool, [this, member] {
                      this->group_view.DidLoseTarget(member,
                                                     this->scheduler.Now());
                    }));
  }
  this->tick_timer = scheduler.PostAfter(Duration(0), [this] { this->Tick(); });
}

GroupMonitor::~GroupMonitor() {
  this->scheduler.Cancel(this->tick_timer);
}

void GroupMonitor::SetRank(size_t rank) {
  this->rank = rank;
}

void GroupMonitor::SetLeaving(std::set<TargetName> leaving) {
  this->leaving = std::move(leaving);
}

void GroupMonitor::SetLocal(std::set<TargetName> local) {
  this->local = std::move(local);
}

TargetPool& GroupMonitor::pool(const TargetName& target) {
  const auto found = this->pools.find(target);
  KINGCUPMILL_VERIFY(found != this->pools.end());
  return *found->second;
}

std::map<TargetName, TargetLoad> GroupMonitor::Loads(Priority priority) const {
  std::map<TargetName, TargetLoad> loads;
  for (const auto& [target, pool] : this->pools) {
    if (!pool->is_usable())
      continue;
    TargetLoad& load = loads[target];
    load.expected_wait = pool->ExpectedWait(priority);
    load.round_trip = pool->round_trip();
    load.is_leaving = this->leaving.contains(target);
    load.is_local = this->local.contains(target);
  }
  return loads;
}

void GroupMonitor::Tick() {
  for (auto& [target, pool] : this->pools)
    pool->Tick();
  this->UpdatePromoter();
  this->Probe();
  const bool is_fast =
      this->promoter.is_active() || !this->group_view.primary();
  this->tick_timer =
      this->scheduler.PostAfter(is_fast ? this->options.fast_probe_interval
                                        : this->options.probe_interval,
                                [this] { this->Tick(); });
}

void GroupMonitor::Probe() {
  const TimePoint sent_at = this->scheduler.Now();
  if (sent_at == this->last_probe_at)
    return;
  this->last_probe_at = sent_at;
  for (auto& [target, pool] : this->pools) {
    TargetRequest request;
    request.operation = TargetOperation::kStatus;
    pool->SubmitControl(
        std::move(request), [this, target = target, sent_at](
                                const std::optional<TargetResponse>& response) {
          if (!response)
            return;
          this->DidReceiveStatus(target, response->status, sent_at);
        });
  }
}

void GroupMonitor::DidReceiveStatus(const TargetName& target,
                                    const TargetStatus& status,
                                    TimePoint sent_at) {
  this->group_view.DidReceiveStatus(target, status, sent_at,
                                    this->scheduler.Now());
  const auto primary = this->group_view.primary();
  if (!primary || primary == this->last_primary)
    return;
  const auto previous = std::exchange(this->last_primary, primary);
  // The outcome of requests that the old primary has not answered is resolved
  // at the new one, because the old one may never respond.
  if (previous && previous->target != primary->target)
    this->pool(previous->target).FailWorkInFlight();
}

void GroupMonitor::UpdatePromoter() {
  this->PerformAll(this->promoter.Tick(this->scheduler.Now(), this->group_view,
                                       this->rank, this->leaving));
}

void GroupMonitor::PerformAll(const std::vector<PromotionAction>& actions) {
  for (const PromotionAction& action : actions)
    std::visit([this](const auto& concrete) { this->Perform(concrete); },
               action);
}

std::string GroupMonitor::Proposer() const {
  return this->options.vm.value;
}

void GroupMonitor::SendTermRequest(const TargetName& target,
                                   TargetRequest request,
                                   TermResponseHandler handler) {
  request.proposer = this->Proposer();
  const TimePoint sent_at = this->scheduler.Now();
  this->pool(target).SubmitControl(
      std::move(request), [this, target, sent_at, handler = std::move(handler)](
                              const std::optional<TargetResponse>& response) {
        if (!response)
          return;
        this->DidReceiveStatus(target, response->status, sent_at);
        this->PerformAll(handler(*response));
      });
}

void GroupMonitor::Perform(const SealTarget& action) {
  TargetRequest request;
  request.operation = TargetOperation::kSeal;
  request.term = action.term;
  this->SendTermRequest(action.target, std::move(request),
                        [this, action](const TargetResponse& response) {
                          return this->promoter.DidReceiveSeal(
                              this->scheduler.Now(), action.target, action.term,
                              response.error == TargetErrorCode::kNone,
                              response.status, this->group_view);
                        });
}

void GroupMonitor::Perform(const LeadTarget& action) {
  this->log.Write(DecisionLog::Frequency::kRare, "promote",
                  this->options.group.value, action.target.value,
                  JoinNames(this->group_view.members()),
                  std::string(ToString(this->promoter.reason())) + ", term " +
                      std::to_string(action.term.value));
  TargetRequest request;
  request.operation = TargetOperation::kLead;
  request.term = action.term;
  request.statements = LedgerSetup(action.term, action.target);
  this->SendTermRequest(action.target, std::move(request),
                        [this, action](const TargetResponse& response) {
                          return this->promoter.DidReceiveLead(
                              this->scheduler.Now(), action.target, action.term,
                              response.error == TargetErrorCode::kNone);
                        });
}

void GroupMonitor::Perform(const HoldWrites& action) {
  TargetRequest request;
  request.operation = TargetOperation::kHoldWrites;
  request.term = action.term;
  request.wait = action.duration;
  this->pool(action.target)
      .SubmitControl(
          std::move(request),
          [this](const std::optional<TargetResponse>& response) {
            if (response && response->error == TargetErrorCode::kNone)
              this->promoter.DidReceiveHold(this->scheduler.Now());
          });
}

void GroupMonitor::Perform(const RecordPrimary& action) {
  this->did_promote(action);
}

}  // namespace kingcupmill
