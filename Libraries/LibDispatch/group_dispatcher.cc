#include "LibDispatch/group_dispatcher.h"

#include <algorithm>
#include <utility>

#include "LibCore/verify.h"
#include "LibDispatch/event_log.h"
#include "LibDispatch/open_transaction.h"
#include "LibDispatch/required_position.h"
#include "LibDispatch/target_view.h"
#include "LibLink/connection_pool.h"

namespace kingcupmill {

namespace {

// The fraction of its latency target that a statement waits while no target can
// run it. A longer wait only delays the caller's retry at another proxy.
constexpr double kMaximumWaitShareWithoutTarget = 0.25;
// A probe takes one round trip; the rest allows for a slow VM.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
// A probe sent on a connection with a running statement waits for that
// statement.
constexpr Duration kQueuedProbeTimeout = std::chrono::milliseconds(2500);
// A primary that has not answered for this long is probed, and again at this
// interval.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
// Keeps reads that a replica may serve away from the primary, whose capacity is
// needed for those that only it may serve.
constexpr Duration kPrimaryReadPenalty = std::chrono::milliseconds(8);
// A statement is refused after this many attempts.
constexpr int kMaximumAttempts = 10;
// The delay before a rejected request is offered to a target again.
constexpr Duration kRequeueDelay = std::chrono::milliseconds(4);
// A leaving primary takes new requests for at most this long if a target that
// this proxy is connected to can replace it, and otherwise until this margin
// before its drain limit.
constexpr Duration kLeavingPrimaryGracePeriod = std::chrono::seconds(4);
constexpr Duration kDrainMargin = std::chrono::seconds(1);
// The minimum time without an answer after which a read is sent once more. 9 in
// 10 reads are answered in a third of it.
constexpr Duration kMinimumHedgeDelay = std::chrono::milliseconds(120);
// Requests do not wait for a primary that has been unresponsive for this long.
constexpr Duration kUnresponsivePrimaryTimeout = std::chrono::milliseconds(600);
// When a caller should retry after a refusal: with a busy target, and while the
// primary is being replaced.
constexpr Duration kRetryDelayWhenBusy = std::chrono::milliseconds(50);
constexpr Duration kRetryDelayDuringFailover = std::chrono::milliseconds(400);

// What a read waits for when no known position is recent enough.
constexpr const char* kWaitsForPositionSample = "a proof of age";

}  // namespace

struct GroupDispatcher::PendingRequest {
  RequestNumber number = 0;
  DispatchRequest request;
  DispatchCallback did_finish;
  bool is_finished = false;
  // Attempts that were sent and have not ended.
  int attempts_in_flight = 0;
  int attempt_count = 0;
  // Targets that could not serve the request.
  std::set<TargetName> excluded_targets;
  Scheduler::TimerId hedge_timer = 0;
  const char* waiting_for = "a target";
};

GroupDispatcher::GroupDispatcher(Scheduler& scheduler,
                                 TargetDialers dialers,
                                 const PrimaryLeases& leases,
                                 EventLog& event_log,
                                 GroupName group,
                                 PlaceName place,
                                 Duration target_drain_limit,
                                 ZoneTrafficOptions zone_traffic)
    : scheduler(scheduler),
      dialers(dialers),
      leases(leases),
      event_log(event_log),
      group(std::move(group)),
      place(std::move(place)),
      target_drain_limit(target_drain_limit),
      queue(scheduler,
            [this](RequestNumber number) { this->DidExpireInQueue(number); }),
      zone_traffic(scheduler,
                   event_log,
                   this->group,
                   this->place,
                   zone_traffic,
                   [this] { this->Dispatch(); }) {}

GroupDispatcher::~GroupDispatcher() {
  // Unanswered commands hold references to their connections, so close
  // these here.
  for (const auto& [name, view] : this->target_by_name)
    view->pool->CloseAll();
  for (const auto& view : this->retired_targets)
    view->pool->CloseAll();
}

void GroupDispatcher::SetTargets(std::span<const TargetEntry> entries,
                                 size_t maximum_connections,
                                 size_t home_count) {
  std::map<TargetName, std::shared_ptr<TargetView>> next;
  for (const TargetEntry& entry : entries) {
    std::shared_ptr<TargetView> view;
    const auto known = this->target_by_name.find(entry.name);
    const bool is_same =
        known != this->target_by_name.end() &&
        known->second->entry.address == entry.address &&
        known->second->entry.started_at_ms == entry.started_at_ms;
    if (is_same) {
      view = known->second;
      view->entry = entry;
      this->target_by_name.erase(known);
    } else {
      const TargetName name = entry.name;
      ConnectionPool::Events events;
      events.did_become_free = this->life.Wrap([this] { this->Dispatch(); });
      events.did_open = this->life.Wrap(
          [this, name](std::optional<LogPoint> point, TimePoint sent_at) {
            ++this->connections_opened_count;
            const auto found = this->target_by_name.find(name);
            if (found == this->target_by_name.end())
              return;
            StatementAnswer greeting;
            greeting.position = point;
            this->DidReceiveFrom(*found->second, greeting, sent_at);
          });
      events.did_fail = this->life.Wrap([this](ConnectionFailure failure) {
        if (failure == ConnectionFailure::kConnectionLimit)
          ++this->connection_limit_refusal_count;
      });
      events.did_reassign = this->life.Wrap(
          [this, name](const ConnectionPool::Reassignment& reassignment) {
            ++this->connections_reassigned_count;
            this->event_log.Write(
                EventLog::Kind::kReassigned,
                "event=connection_reassigned group={} target={} from={} to={} "
                "expected_back_ms={}",
                this->group.value, name.value, reassignment.from.value,
                reassignment.to.value,
                ToMilliseconds(reassignment.expected_return));
          });
      view = std::make_shared<TargetView>(
          entry, std::make_unique<ConnectionPool>(
                     this->scheduler, this->dialers,
                     TargetEndpoint{this->group, entry.name, entry.address},
                     std::move(events)));
    }
    if (entry.state == TargetState::kLeaving && !view->leaving_since)
      view->leaving_since = this->scheduler.Now();
    if (entry.state == TargetState::kReady) {
      view->leaving_since.reset();
      view->was_ready = true;
    }
    view->pool->SetLimit(maximum_connections);
    view->pool->SetOpenRate(ConnectionOpenRate(entry.slots, home_count));
    next.emplace(entry.name, std::move(view));
  }
  for (auto& [name, view] : this->target_by_name) {
    view->pool->Retire();
    this->retired_targets.push_back(view);
  }
  this->target_by_name = std::move(next);
  this->PruneRetiredTargets();
  this->Dispatch();
}

void GroupDispatcher::PruneRetiredTargets() {
  std::erase_if(this->retired_targets, [](const auto& view) {
    return view->pool->in_use_count() == 0 && view.use_count() == 1;
  });
}

GroupDispatcher::RequestNumber GroupDispatcher::Submit(
    DispatchRequest request,
    DispatchCallback did_finish) {
  auto pending = std::make_shared<PendingRequest>();
  pending->number = this->next_number++;
  pending->request = std::move(request);
  pending->did_finish = std::move(did_finish);
  this->pending_by_number.emplace(pending->number, pending);
  const RequestNumber number = pending->number;
  this->queue.Add(number, pending->request, kRequeueDelay);
  this->Dispatch();
  if (const auto retry_delay = this->queue.RemoveIfHopeless(number))
    this->Refuse(pending, StatementErrorCode::kBusy, pending->waiting_for,
                 *retry_delay);
  return number;
}

bool GroupDispatcher::is_queued(const PendingRequest& pending) const {
  return this->queue.contains(pending.number);
}

void GroupDispatcher::Cancel(RequestNumber number) {
  const auto found = this->pending_by_number.find(number);
  if (found == this->pending_by_number.end())
    return;
  const RequestPointer pending = found->second;
  pending->did_finish = [](DispatchOutcome) {};
  if (!this->queue.Remove(number))
    return;
  // An earlier attempt that is still unanswered does not queue it again.
  pending->is_finished = true;
  this->pending_by_number.erase(found);
}

void GroupDispatcher::DidReachHedgeDelay(const RequestPointer& pending,
                                         const TargetName& target) {
  if (pending->is_finished || this->is_queued(*pending) ||
      pending->attempt_count + 1 >= kMaximumAttempts)
    return;
  this->event_log.Write(EventLog::Kind::kRouted,
                        "event=second_attempt request={} group={} silent={}",
                        pending->request.statement_id, this->group.value,
                        target.value);
  if (!pending->request.needs_primary)
    pending->excluded_targets.insert(target);
  this->Requeue(pending);
}

void GroupDispatcher::Requeue(const RequestPointer& pending) {
  if (pending->is_finished || this->is_queued(*pending))
    return;
  const TimePoint now = this->scheduler.Now();
  const bool must_stop = ++pending->attempt_count >= kMaximumAttempts ||
                         now >= pending->request.received_at +
                                    pending->request.route.statement_timeout;
  if (must_stop) {
    // An earlier attempt may still be answered.
    if (pending->attempts_in_flight == 0)
      this->Refuse(pending, StatementErrorCode::kBusy, "no target took it");
    return;
  }
  this->queue.Add(pending->number, pending->request, kRequeueDelay);
  this->scheduler.PostAfter(kRequeueDelay,
                            this->life.Wrap([this] { this->Dispatch(); }));
}

void GroupDispatcher::DidExpireInQueue(RequestNumber number) {
  const RequestPointer pending = this->pending_by_number.at(number);
  if (pending->attempts_in_flight == 0)
    this->Refuse(pending, StatementErrorCode::kBusy, pending->waiting_for);
}

void GroupDispatcher::Dispatch() {
  // Releasing a connection during the loop calls this again; it then only
  // requests another pass.
  if (std::exchange(this->is_dispatching, true)) {
    this->needs_another_pass = true;
    return;
  }
  do {
    this->needs_another_pass = false;
    const std::vector<RequestNumber> waiting = this->queue.InOrder();
    this->connection_provider.BeginPass();
    for (const RequestNumber number : waiting)
      this->connection_provider.AddWaiting(
          this->pending_by_number.at(number)->request.customer);
    for (const RequestNumber number : waiting) {
      if (!this->queue.contains(number))
        continue;
      const RequestPointer pending = this->pending_by_number.at(number);
      if (this->TryStart(pending) != StartResult::kNoTarget)
        continue;
      const bool is_primary_unresponsive =
          pending->request.needs_primary &&
          this->PrimarySilence() >= kUnresponsivePrimaryTimeout;
      const TimePoint wait_until =
          pending->request.received_at +
          duration_cast<Duration>(pending->request.route.target_latency *
                                  kMaximumWaitShareWithoutTarget);
      const bool may_still_wait =
          !is_primary_unresponsive && this->scheduler.Now() < wait_until;
      if (may_still_wait || pending->attempts_in_flight > 0)
        continue;
      this->queue.Remove(number);
      this->Refuse(pending, StatementErrorCode::kBusy, pending->waiting_for);
    }
  } while (this->needs_another_pass);
  this->is_dispatching = false;
}

GroupDispatcher::StartResult GroupDispatcher::TryStart(
    const RequestPointer& pending) {
  bool may_become_available = false;
  std::optional<TargetChoice> choice =
      pending->request.needs_primary
          ? this->ChoosePrimary(*pending, may_become_available)
          : this->ChooseTarget(*pending, may_become_available);
  if (!choice)
    return may_become_available ? StartResult::kMustWait
                                : StartResult::kNoTarget;
  this->queue.Start(pending->number, pending->attempt_count == 0);
  this->Start(pending, std::move(*choice));
  return StartResult::kStarted;
}

bool GroupDispatcher::is_usable(const TargetView& target) const {
  return target.entry.state == TargetState::kReady &&
         this->scheduler.Now() >= target.overloaded_until;
}

std::optional<GroupDispatcher::TargetChoice> GroupDispatcher::ChoosePrimary(
    PendingRequest& pending,
    bool& may_become_available) {
  const TimePoint now = this->scheduler.Now();
  const auto lease = this->leases.LeasedPrimary(this->group, now);
  pending.waiting_for = "a lease on the primary";
  if (!lease)
    return std::nullopt;
  const auto found = this->target_by_name.find(lease->primary);
  pending.waiting_for = "the primary's entry";
  if (found == this->target_by_name.end() ||
      found->second->entry.state == TargetState::kUnlisted)
    return std::nullopt;
  TargetView& view = *found->second;
  pending.waiting_for = "the leaving primary";
  if (view.leaving_since &&
      now - *view.leaving_since > this->LeavingPrimaryLimit(view))
    return std::nullopt;
  pending.waiting_for = "a connection to the primary";
  may_become_available = view.pool->open_count() > 0 ||
                         this->PrimarySilence() < kUnresponsivePrimaryTimeout;
  if (now < view.overloaded_until)
    return std::nullopt;
  const CustomerName& customer = pending.request.customer;
  if (!view.pool->has_free(customer)) {
    const ConnectionProvider::Candidate candidate{&view, Duration(0)};
    this->connection_provider.Provide(customer, {&candidate, 1},
                                      this->queue.size(),
                                      this->queue.QueuedUntil(pending.number));
    return std::nullopt;
  }
  return TargetChoice{found->second, std::nullopt, lease};
}

Duration GroupDispatcher::LeavingPrimaryLimit(const TargetView& primary) const {
  const bool has_ready_target =
      std::any_of(this->target_by_name.begin(), this->target_by_name.end(),
                  [](const auto& known) {
                    return known.second->entry.state == TargetState::kReady &&
                           known.second->pool->open_count() > 0;
                  });
  // A proxy that has never seen the target ready does not know since when it
  // has been leaving.
  if (has_ready_target || !primary.was_ready)
    return kLeavingPrimaryGracePeriod;
  return this->target_drain_limit - kDrainMargin;
}

std::optional<GroupDispatcher::TargetChoice> GroupDispatcher::ChooseTarget(
    PendingRequest& pending,
    bool& may_become_available) {
  const TimePoint now = this->scheduler.Now();
  const auto lease = this->leases.LeasedPrimary(this->group, now);
  const auto required = RequiredPosition(
      pending.request, this->leases.Find(this->group), this->samples, now);
  pending.waiting_for = required ? "a target" : kWaitsForPositionSample;
  const CustomerName& customer = pending.request.customer;
  std::vector<ConnectionProvider::Candidate> without_connection;
  ReadTargets targets;
  auto& [best, best_cost, best_without_connection, best_cost_without_connection,
         best_at_home, best_cost_at_home] = targets;
  for (const auto& [name, view] : this->target_by_name) {
    const bool is_primary = lease && lease->primary == name;
    if (view->entry.state != TargetState::kReady)
      continue;
    if (!is_primary && !required)
      continue;
    may_become_available = true;
    if (!this->is_usable(*view) || pending.excluded_targets.contains(name))
      continue;
    if (!is_primary && view->is_behind(*required, now))
      continue;
    Duration cost = view->ExpectedLatency(now);
    if (is_primary)
      cost += kPrimaryReadPenalty;
    const bool is_elsewhere = view->entry.place != this->place;
    if (is_elsewhere)
      cost += ZoneBalancer::kCrossingCost;
    if (view->pool->has_free(customer)) {
      if (!is_elsewhere && cost < best_cost_at_home) {
        best_cost_at_home = cost;
        best_at_home = view;
      }
      if (cost < best_cost) {
        best_cost = cost;
        best = view;
      }
      continue;
    }
    cost += this->connection_provider.CostOf(customer, *view);
    without_connection.push_back({view.get(), cost});
    if (cost < best_cost_without_connection) {
      best_cost_without_connection = cost;
      best_without_connection = view;
    }
  }
  std::erase_if(without_connection, [&targets](const auto& candidate) {
    return candidate.cost >= targets.best_cost;
  });
  this->connection_provider.Provide(customer, without_connection,
                                    this->queue.size(),
                                    this->queue.QueuedUntil(pending.number));
  best = this->zone_traffic.Choose(targets, pending.request);
  if (!best)
    return std::nullopt;
  const bool is_primary = lease && lease->primary == best->entry.name;
  if (is_primary)
    return TargetChoice{best, std::nullopt, lease};
  return TargetChoice{best, required, std::nullopt};
}

void GroupDispatcher::Start(const RequestPointer& pending,
                            TargetChoice choice) {
  const auto connection = choice.target->pool->Acquire(
      pending->request.customer, *pending->request.session_context);
  KINGCUPMILL_VERIFY(connection != nullptr);
  if (!choice.target->pool->needs_probe(*connection))
    return this->Send(pending, choice, connection);
  TargetCommand probe;
  probe.kind = TargetCommandKind::kProbe;
  const TimePoint sent_at = this->scheduler.Now();
  connection->Send(
      std::move(probe), kProbeTimeout,
      this->life.Wrap([this, pending, choice, connection,
                       sent_at](std::optional<StatementAnswer> answer) {
        if (answer)
          this->DidReceiveFrom(*choice.target, *answer, sent_at);
        this->DidProbe(pending, choice, connection, answer.has_value());
      }));
}

void GroupDispatcher::DidProbe(const RequestPointer& pending,
                               const TargetChoice& choice,
                               std::shared_ptr<PooledConnection> connection,
                               bool is_alive) {
  if (is_alive)
    return this->Send(pending, choice, std::move(connection));
  // Other connections on the same network path may be broken as well.
  choice.target->pool->RequireProbeBefore(this->scheduler.Now());
  this->ReleaseConnection(choice.target, connection);
  // The other connections were not tried, so exclude the target only if none is
  // open.
  if (choice.target->pool->open_count() == 0)
    pending->excluded_targets.insert(choice.target->entry.name);
  this->Requeue(pending);
}

void GroupDispatcher::Send(const RequestPointer& pending,
                           const TargetChoice& choice,
                           std::shared_ptr<PooledConnection> connection) {
  const TimePoint now = this->scheduler.Now();
  if (choice.lease && !this->is_lease_valid(*choice.lease)) {
    this->ReleaseConnection(choice.target, connection);
    return this->Requeue(pending);
  }
  const DispatchRequest& request = pending->request;
  const Duration timeout =
      request.received_at + request.route.statement_timeout - now;
  if (timeout <= Duration(0)) {
    this->ReleaseConnection(choice.target, connection);
    return this->Refuse(pending, StatementErrorCode::kBusy, "time");
  }
  ++pending->attempts_in_flight;
  this->zone_traffic.DidSend(request, *choice.target);
  const bool is_repeatable = !request.is_write && !request.opens_transaction;
  if (is_repeatable) {
    const Duration hedge_delay = std::max<Duration>(
        kMinimumHedgeDelay, 3 * choice.target->ExpectedLatency(now));
    pending->hedge_timer = this->scheduler.PostAfter(
        hedge_delay,
        this->life.Wrap([this, pending, name = choice.target->entry.name] {
          this->DidReachHedgeDelay(pending, name);
        }));
  }
  TargetCommand command = request.command;
  command.required_position = choice.required_position;
  if (choice.lease)
    this->statements_on_primary.emplace(
        pending->number, PrimaryStatement{connection, *choice.lease});
  const uint64_t send_id = this->unanswered_statements.DidSend(
      choice.target, connection,
      request.is_write ? InFlightStatements::AnswerLoss::kOutcomeUnknown
                       : InFlightStatements::AnswerLoss::kRecoverable);
  this->event_log.Write(
      EventLog::Kind::kRouted,
      "event=routed request={} group={} target={} primary={} after={}.{} "
      "waited_ms={:.1f} attempt={} in_flight={}",
      request.statement_id, this->group.value, choice.target->entry.name.value,
      choice.lease.has_value(),
      choice.required_position ? choice.required_position->term.value : 0,
      choice.required_position ? choice.required_position->position.value : 0,
      static_cast<double>((now - request.received_at).count()) / 1000,
      pending->attempt_count, choice.target->in_flight);
  connection->SendInSession(
      *request.session_context, std::move(command), timeout,
      this->life.Wrap([this, pending, choice, connection, send_id,
                       sent_at = now](std::optional<StatementAnswer> answer) {
        this->unanswered_statements.DidEnd(send_id);
        this->statements_on_primary.erase(pending->number);
        --pending->attempts_in_flight;
        this->DidReceive(pending, choice, connection, sent_at,
                         std::move(answer));
      }));
}

void GroupDispatcher::DidReceive(
    const RequestPointer& pending,
    const TargetChoice& choice,
    const std::shared_ptr<PooledConnection>& connection,
    TimePoint sent_at,
    std::optional<StatementAnswer> answer) {
  const TimePoint now = this->scheduler.Now();
  const DispatchRequest& request = pending->request;
  if (pending->is_finished) {
    // Another attempt was answered first.
    if (answer)
      this->DidReceiveFrom(*choice.target, *answer, sent_at);
    return this->ReleaseConnection(choice.target, connection);
  }
  this->zone_traffic.DidEnd(request, *choice.target, answer);
  if (!answer) {
    this->ReleaseConnection(choice.target, connection);
    if (pending->attempts_in_flight > 0 || this->is_queued(*pending))
      return;
    if (request.is_write) {
      DispatchOutcome outcome;
      outcome.answer.error = StatementError{StatementErrorCode::kInDoubt,
                                            "the target's answer was lost"};
      return this->Finish(pending, std::move(outcome));
    }
    if (now >= request.received_at + request.route.statement_timeout) {
      DispatchOutcome outcome;
      outcome.answer.error =
          StatementError{StatementErrorCode::kTimeout, "no answer in time"};
      return this->Finish(pending, std::move(outcome));
    }
    pending->excluded_targets.insert(choice.target->entry.name);
    return this->Requeue(pending);
  }
  this->DidReceiveFrom(*choice.target, *answer, sent_at);
  if (!request.opens_transaction)
    choice.target->DidAnswer(now - sent_at, now);
  if (answer->error) {
    this->ReleaseConnection(choice.target, connection);
    return this->DidReceiveError(pending, choice, std::move(*answer));
  }
  // The answer does not count as a success if the lease on the primary is no
  // longer valid.
  if (choice.lease && !this->is_lease_valid(*choice.lease)) {
    this->ReleaseConnection(choice.target, connection);
    if (!request.is_write)
      return this->Requeue(pending);
    DispatchOutcome outcome;
    outcome.answer.error = StatementError{StatementErrorCode::kInDoubt,
                                          "the primary was replaced meanwhile"};
    return this->Finish(pending, std::move(outcome));
  }
  DispatchOutcome outcome;
  outcome.answer = std::move(*answer);
  if (request.opens_transaction &&
      outcome.answer.state == SessionState::kInTransaction) {
    outcome.transaction = std::make_unique<OpenTransaction>(
        *this, choice.target, connection, request.route, choice.lease);
    return this->Finish(pending, std::move(outcome));
  }
  this->ReleaseConnection(choice.target, connection);
  this->Finish(pending, std::move(outcome));
}

void GroupDispatcher::DidReceiveError(const RequestPointer& pending,
                                      const TargetChoice& choice,
                                      StatementAnswer answer) {
  const TargetName& name = choice.target->entry.name;
  this->event_log.Write(EventLog::Kind::kFailed,
                        "event=target_refused request={} group={} target={} "
                        "code={} message=\"{}\"",
                        pending->request.statement_id, this->group.value,
                        name.value, static_cast<int>(answer.error->code),
                        answer.error->message);
  switch (answer.error->code) {
    case StatementErrorCode::kBusy:
      choice.target->DidReportOverload(this->scheduler.Now());
      return this->Requeue(pending);
    case StatementErrorCode::kLagging:
      // Its position is known now, so it is not chosen until that knowledge
      // expires.
      return this->Requeue(pending);
    case StatementErrorCode::kNoPreparedStatement:
      // This proxy's record of what is prepared on the connection is wrong.
      pending->excluded_targets.insert(name);
      return this->Requeue(pending);
    case StatementErrorCode::kReadOnly:
      if (choice.lease && this->is_lease_valid(*choice.lease))
        this->did_primary_report_read_only = true;
      return this->Requeue(pending);
    case StatementErrorCode::kFailed:
    case StatementErrorCode::kTimeout:
      // A read can safely be retried, and another target may succeed.
      if (!pending->request.is_write && !pending->request.needs_primary &&
          !pending->excluded_targets.contains(name)) {
        pending->excluded_targets.insert(name);
        return this->Requeue(pending);
      }
      break;
    default:
      break;
  }
  DispatchOutcome outcome;
  outcome.answer = std::move(answer);
  this->Finish(pending, std::move(outcome));
}

void GroupDispatcher::Refuse(const RequestPointer& pending,
                             StatementErrorCode code,
                             const char* reason) {
  this->Refuse(pending, code, reason, this->RetryDelay());
}

void GroupDispatcher::Refuse(const RequestPointer& pending,
                             StatementErrorCode code,
                             const char* reason,
                             Duration retry_delay) {
  this->event_log.Write(
      EventLog::Kind::kRefused,
      "event=refused request={} group={} waits_for=\"{}\" waited_ms={} "
      "attempts={} queue={} primary_silent_ms={} come_back_ms={}",
      pending->request.statement_id, this->group.value, reason,
      ToMilliseconds(this->scheduler.Now() - pending->request.received_at),
      pending->attempt_count, this->queue.size(),
      ToMilliseconds(this->PrimarySilence()), ToMilliseconds(retry_delay));
  DispatchOutcome outcome;
  outcome.answer.error =
      StatementError{code, fmt::format("waited for {}; retry after {} ms",
                                       reason, ToMilliseconds(retry_delay))};
  this->Finish(pending, std::move(outcome));
}

void GroupDispatcher::Finish(const RequestPointer& pending,
                             DispatchOutcome outcome) {
  if (pending->is_finished)
    return;
  pending->is_finished = true;
  this->scheduler.Cancel(pending->hedge_timer);
  this->queue.Remove(pending->number);
  this->pending_by_number.erase(pending->number);
  const DispatchCallback did_finish = std::move(pending->did_finish);
  did_finish(std::move(outcome));
}

Duration GroupDispatcher::RetryDelay() const {
  return this->leases.LeasedPrimary(this->group, this->scheduler.Now())
             ? Duration(kRetryDelayWhenBusy)
             : Duration(kRetryDelayDuringFailover);
}

void GroupDispatcher::ReleaseConnection(
    const std::shared_ptr<TargetView>& target,
    const std::shared_ptr<PooledConnection>& connection) {
  if (connection->is_closed() || !connection->is_in_transaction())
    return target->pool->Release(connection);
  this->RollBackAndRelease(target, connection);
}

void GroupDispatcher::RollBackAndRelease(
    const std::shared_ptr<TargetView>& target,
    const std::shared_ptr<PooledConnection>& connection) {
  TargetCommand rollback;
  rollback.kind = TargetCommandKind::kRollback;
  connection->Send(std::move(rollback), kQueuedProbeTimeout,
                   this->life.Wrap([this, target, connection](
                                       std::optional<StatementAnswer> answer) {
                     if (!answer || connection->is_in_transaction())
                       connection->Close();
                     target->pool->Release(connection);
                     this->PruneRetiredTargets();
                   }));
}

void GroupDispatcher::DidReceiveFrom(TargetView& target,
                                     const StatementAnswer& answer,
                                     TimePoint sent_at) {
  const TimePoint now = this->scheduler.Now();
  target.last_answer_at = now;
  target.newest_answered_sent_at =
      std::max(target.newest_answered_sent_at, sent_at);
  const PrimaryRecord* record = this->leases.Find(this->group);
  const bool is_primary = record && record->primary == target.entry.name;
  if (is_primary) {
    this->last_primary_answer_at = now;
    this->unanswered_since.reset();
  }
  if (!answer.position)
    return;
  target.DidReportPosition(*answer.position, now);
  // The lease is still valid at the answer, so the target was the primary for
  // the whole time since the command was sent.
  const auto lease = this->leases.LeasedPrimary(this->group, now);
  if (lease && lease->primary == target.entry.name &&
      answer.position->term == lease->term)
    this->samples.Add(*answer.position, sent_at);
}

void GroupDispatcher::AddPositionSample(LogPoint point, TimePoint sent_at) {
  this->samples.Add(point, sent_at);
}

bool GroupDispatcher::is_lease_valid(const PrimaryRecord& record) const {
  return this->leases.is_held(record, this->scheduler.Now());
}

void GroupDispatcher::DidOpenTransaction(OpenTransaction* transaction) {
  this->transactions.insert(transaction);
}

void GroupDispatcher::DidEndTransaction(
    OpenTransaction* transaction,
    const std::shared_ptr<TargetView>& target,
    const std::shared_ptr<PooledConnection>& connection) {
  this->transactions.erase(transaction);
  // If a statement is still running, send the rollback behind it on the same
  // connection.
  if (!connection->is_closed() && transaction->is_busy())
    return this->RollBackAndRelease(target, connection);
  this->ReleaseConnection(target, connection);
}

void GroupDispatcher::DidChangeLeases() {
  const PrimaryRecord* record = this->leases.Find(this->group);
  if (record && record->version != this->primary_version) {
    // Probes and refusals from before the primary was marked as closing or
    // replaced no longer apply. The time of its last answer still counts while
    // the primary is the same, because it may be used again after it was
    // marked.
    const bool is_same = this->primary_name == record->primary &&
                         this->primary_term == record->term;
    if (!is_same)
      this->last_primary_answer_at = TimePoint{};
    this->primary_name = record->primary;
    this->primary_term = record->term;
    this->primary_version = record->version;
    this->did_primary_report_read_only = false;
    this->unanswered_since.reset();
  }
  // Aborting a transaction notifies its caller, who may destroy it and others.
  const std::vector<OpenTransaction*> open(this->transactions.begin(),
                                           this->transactions.end());
  for (OpenTransaction* transaction : open) {
    if (!this->transactions.contains(transaction))
      continue;
    const auto& lease = transaction->primary_lease();
    if (lease && !this->is_lease_valid(*lease))
      transaction->Abort();
  }
  std::vector<std::shared_ptr<PooledConnection>> superseded;
  for (const auto& [number, statement] : this->statements_on_primary) {
    if (!this->is_lease_valid(statement.lease))
      superseded.push_back(statement.connection);
  }
  for (const auto& connection : superseded)
    connection->Close();
  this->Dispatch();
}

size_t GroupDispatcher::active_primary_requests() const {
  size_t count = 0;
  for (const OpenTransaction* transaction : this->transactions)
    count += transaction->primary_lease().has_value() ? 1 : 0;
  const auto found = this->target_by_name.find(this->primary_name);
  if (found != this->target_by_name.end())
    count += static_cast<size_t>(std::max(found->second->in_flight, 0));
  return count;
}

Duration GroupDispatcher::PrimarySilence() const {
  if (!this->unanswered_since)
    return Duration(0);
  return this->scheduler.Now() - *this->unanswered_since;
}

bool GroupDispatcher::has_recent_replica_answer() const {
  const TimePoint now = this->scheduler.Now();
  return std::any_of(this->target_by_name.begin(), this->target_by_name.end(),
                     [&](const auto& known) {
                       return known.first != this->primary_name &&
                              now - known.second->last_answer_at <
                                  std::chrono::seconds(1);
                     });
}

std::shared_ptr<PooledConnection> GroupDispatcher::ControlConnection(
    const TargetName& target) {
  const auto found = this->target_by_name.find(target);
  if (found == this->target_by_name.end())
    return nullptr;
  auto connection = found->second->pool->FindOpen();
  if (!connection)
    found->second->pool->OpenForControl();
  return connection;
}

bool GroupDispatcher::is_connected(const TargetName& target) const {
  const auto found = this->target_by_name.find(target);
  return found != this->target_by_name.end() &&
         found->second->pool->open_count() > 0;
}

void GroupDispatcher::AddControlConnection(const TargetName& target) {
  const auto found = this->target_by_name.find(target);
  if (found != this->target_by_name.end())
    found->second->pool->OpenForControl();
}

std::optional<TimePoint> GroupDispatcher::LeavingSince(
    const TargetName& target) const {
  const auto found = this->target_by_name.find(target);
  if (found == this->target_by_name.end())
    return std::nullopt;
  return found->second->leaving_since;
}

GroupDispatcher::LendResult GroupDispatcher::LendConnection(
    const TargetName& target,
    const CustomerName& customer,
    std::shared_ptr<TargetView>& view,
    std::shared_ptr<PooledConnection>& connection) {
  const auto found = this->target_by_name.find(target);
  if (found == this->target_by_name.end())
    return LendResult::kRefused;
  const std::shared_ptr<PooledConnection> acquired =
      found->second->pool->AcquireOwn(customer, SessionContext());
  if (!acquired)
    return found->second->pool->ProvideForLoan(customer) ? LendResult::kOpening
                                                         : LendResult::kRefused;
  view = found->second;
  connection = acquired;
  return LendResult::kLent;
}

void GroupDispatcher::ReclaimConnection(
    const std::shared_ptr<TargetView>& view,
    const std::shared_ptr<PooledConnection>& connection) {
  if (!connection->is_closed())
    connection->Reset(kProbeTimeout, [connection](const auto& answer) {
      if (!answer || answer->error)
        connection->Close();
    });
  this->ReleaseConnection(view, connection);
}

void GroupDispatcher::Tick() {
  const TimePoint now = this->scheduler.Now();
  for (const auto& connection : this->unanswered_statements.FindLost(now))
    connection->Close();
  this->Dispatch();
  this->PruneRetiredTargets();
  this->zone_traffic.Tick();
  // Connections are opened before statements need them, to keep the cost of
  // opening out of their latency.
  for (const auto& [name, view] : this->target_by_name) {
    if (view->entry.state != TargetState::kUnlisted &&
        view->pool->open_count() + view->pool->opening_count() == 0)
      view->pool->OpenForControl();
  }
  const bool is_due = now - this->last_probed_at >= kProbeInterval &&
                      now - this->last_primary_answer_at >= kProbeInterval;
  if (!is_due)
    return;
  this->last_probed_at = now;
  const bool is_primary_silent = this->PrimarySilence() > 2 * kProbeInterval;
  for (const auto& [name, view] : this->target_by_name) {
    const bool is_primary = name == this->primary_name;
    const bool is_unlisted = view->entry.state == TargetState::kUnlisted;
    if (is_unlisted || (!is_primary && !is_primary_silent))
      continue;
    if (is_primary && !this->unanswered_since)
      this->unanswered_since = now;
    const auto connection = view->pool->FindOpen();
    if (!connection) {
      view->pool->OpenForControl();
      continue;
    }
    TargetCommand probe;
    probe.kind = TargetCommandKind::kProbe;
    connection->Send(
        std::move(probe), kQueuedProbeTimeout,
        this->life.Wrap([this, view = view,
                         sent_at = now](std::optional<StatementAnswer> answer) {
          if (answer)
            this->DidReceiveFrom(*view, *answer, sent_at);
        }));
  }
}

}  // namespace kingcupmill
