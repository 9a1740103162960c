#include "LibDispatch/group_dispatcher.h"

#include <algorithm>
#include <utility>

#include "LibCore/verify.h"
#include "LibDispatch/event_journal.h"
#include "LibDispatch/open_transaction.h"
#include "LibDispatch/target_view.h"
#include "LibLink/link_pool.h"

namespace kingcupmill {

namespace {

// How much of its response-time goal a statement waits while no target can take
// it. A longer wait only delays the caller's next try at another proxy.
constexpr double kHoldShareWithoutTarget = 0.25;
// How much of it a statement waits while targets are busy. What starts later is
// answered too late, and takes the place of what could be answered in time.
constexpr double kHoldShareWhileBusy = 0.65;
// A target's answer to a probe takes a round trip; this allows for a slow VM.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
// A probe behind a running statement waits for that statement.
constexpr Duration kQueuedProbeTimeout = std::chrono::milliseconds(2500);
// The primary is probed after this much silence, and again at this interval.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
// A position must cover every commit acknowledged before the stated age; kept
// back from the age for the way to the target.
constexpr Duration kAgeMargin = std::chrono::milliseconds(40);
// A round trip to another zone, and the price of the bytes between zones.
constexpr Duration kOtherPlacePenalty = std::chrono::milliseconds(6);
// Reads that replicas may serve leave the primary to those that they may not.
constexpr Duration kPrimaryPenalty = std::chrono::milliseconds(8);
// A statement is offered this often before it is refused.
constexpr int kMaximumAttempts = 10;
// Work that was refused by one target is offered again after this pause.
constexpr Duration kRetryPause = std::chrono::milliseconds(4);
// A leaving primary takes new work for this long at most; by then another one
// leads, or the group has none.
constexpr Duration kLeavingPrimaryUse = std::chrono::seconds(4);
// A read without an answer for this long is sent once more; nine in ten take a
// third of it.
constexpr Duration kHedgeAfter = std::chrono::milliseconds(120);
// A primary that has been silent for longer is not waited for.
constexpr Duration kSilentPrimary = std::chrono::milliseconds(600);
// When a caller should come back after a refusal: to a busy target, and to a
// group whose primary is being replaced.
constexpr Duration kComeBackWhenBusy = std::chrono::milliseconds(50);
constexpr Duration kComeBackAfterFailover = std::chrono::milliseconds(400);

// Why a read waits when no known position is young enough.
constexpr const char* kNoProof = "a proof of age";

}  // namespace

struct GroupDispatcher::Work {
  WorkNumber number = 0;
  WorkRequest request;
  DidFinishWork did_finish;
  QueueKey key;
  bool is_queued = false;
  bool is_finished = false;
  // Attempts that were sent and are not over.
  int running = 0;
  int attempts = 0;
  // Targets that could not serve it.
  std::set<TargetName> avoided;
  Scheduler::TimerId timer = 0;
  Scheduler::TimerId hedge_timer = 0;
  const char* waits_for = "a target";
};

GroupDispatcher::GroupDispatcher(Scheduler& scheduler,
                                 TargetDialers dialers,
                                 const PrimaryLeases& leases,
                                 EventJournal& journal,
                                 GroupName group,
                                 PlaceName place)
    : scheduler(scheduler),
      dialers(dialers),
      leases(leases),
      journal(journal),
      group(std::move(group)),
      place(std::move(place)) {}

GroupDispatcher::~GroupDispatcher() {
  // Unanswered commands hold their links, so these must end here.
  for (const auto& [name, view] : this->target_by_name)
    view->pool->CloseAll();
  for (const auto& view : this->retired)
    view->pool->CloseAll();
}

void GroupDispatcher::SetTargets(std::span<const TargetEntry> entries,
                                 size_t link_limit) {
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
      LinkPool::Events events;
      events.did_free = this->life.Wrap([this] { this->Dispatch(); });
      events.did_open = this->life.Wrap(
          [this, name](std::optional<LogPoint> point, TimePoint sent_at) {
            const auto found = this->target_by_name.find(name);
            if (found == this->target_by_name.end())
              return;
            StatementAnswer greeting;
            greeting.position = point;
            this->DidReceiveFrom(*found->second, greeting, sent_at);
          });
      events.did_fail = this->life.Wrap([this](LinkFailure failure) {
        if (failure == LinkFailure::kConnectionLimit)
          ++this->limit_refusal_count;
      });
      view = std::make_shared<TargetView>(
          entry, std::make_unique<LinkPool>(
                     this->scheduler, this->dialers,
                     TargetEndpoint{this->group, entry.name, entry.address},
                     std::move(events)));
    }
    if (entry.state == TargetState::kLeaving && !view->leaving_since)
      view->leaving_since = this->scheduler.Now();
    if (entry.state == TargetState::kReady)
      view->leaving_since.reset();
    view->pool->SetLimit(link_limit);
    next.emplace(entry.name, std::move(view));
  }
  for (auto& [name, view] : this->target_by_name) {
    view->pool->Retire();
    this->retired.push_back(view);
  }
  this->target_by_name = std::move(next);
  this->Prune();
  this->Dispatch();
}

void GroupDispatcher::Prune() {
  std::erase_if(this->retired, [](const auto& view) {
    return view->pool->taken_count() == 0 && view.use_count() == 1;
  });
}

GroupDispatcher::WorkNumber GroupDispatcher::Submit(WorkRequest request,
                                                    DidFinishWork did_finish) {
  auto work = std::make_shared<Work>();
  work->number = this->next_number++;
  work->request = std::move(request);
  work->did_finish = std::move(did_finish);
  work->key = QueueKey(work->request.route.priority, work->request.received_at,
                       work->number);
  this->work_by_number.emplace(work->number, work);
  const WorkNumber number = work->number;
  this->Enqueue(work);
  this->Dispatch();
  return number;
}

void GroupDispatcher::Cancel(WorkNumber number) {
  const auto found = this->work_by_number.find(number);
  if (found == this->work_by_number.end())
    return;
  const WorkPointer work = found->second;
  work->did_finish = [](WorkOutcome) {};
  if (!work->is_queued)
    return;
  work->is_queued = false;
  this->queue.erase(work->key);
  this->scheduler.Cancel(work->timer);
  this->work_by_number.erase(found);
}

void GroupDispatcher::Enqueue(const WorkPointer& work) {
  work->is_queued = true;
  this->queue.emplace(work->key, work);
  const CallerRoute& route = work->request.route;
  const auto hold =
      duration_cast<Duration>(route.response_goal * kHoldShareWhileBusy);
  const TimePoint until =
      work->request.received_at + std::min(hold, route.statement_timeout);
  const Duration wait =
      std::max(until - this->scheduler.Now(), Duration(kRetryPause));
  work->timer = this->scheduler.PostAfter(
      wait, this->life.Wrap([this, work] { this->DidWaitTooLong(work); }));
}

void GroupDispatcher::DidHangOn(const WorkPointer& work,
                                const TargetName& target) {
  if (work->is_finished || work->is_queued ||
      work->attempts + 1 >= kMaximumAttempts)
    return;
  this->journal.Write(EventJournal::Kind::kRouted,
                      "event=second_attempt request={} group={} silent={}",
                      work->request.caller_id, this->group.value, target.value);
  if (!work->request.needs_primary)
    work->avoided.insert(target);
  this->Requeue(work);
}

void GroupDispatcher::Requeue(const WorkPointer& work) {
  if (work->is_finished || work->is_queued)
    return;
  const TimePoint now = this->scheduler.Now();
  const bool is_over =
      ++work->attempts >= kMaximumAttempts ||
      now >= work->request.received_at + work->request.route.statement_timeout;
  if (is_over) {
    // An earlier attempt may still be answered.
    if (work->running == 0)
      this->Refuse(work, StatementErrorCode::kBusy, "no target took it");
    return;
  }
  this->Enqueue(work);
  this->scheduler.PostAfter(kRetryPause,
                            this->life.Wrap([this] { this->Dispatch(); }));
}

void GroupDispatcher::DidWaitTooLong(const WorkPointer& work) {
  if (!work->is_queued)
    return;
  this->queue.erase(work->key);
  work->is_queued = false;
  if (work->running == 0)
    this->Refuse(work, StatementErrorCode::kBusy, work->waits_for);
}

void GroupDispatcher::Dispatch() {
  // Giving back a link while the queue is walked asks for another walk.
  if (std::exchange(this->is_dispatching, true)) {
    this->has_more_to_dispatch = true;
    return;
  }
  do {
    this->has_more_to_dispatch = false;
    std::vector<WorkPointer> waiting;
    waiting.reserve(this->queue.size());
    for (const auto& [key, work] : this->queue)
      waiting.push_back(work);
    for (const WorkPointer& work : waiting) {
      if (!work->is_queued)
        continue;
      if (this->TryStart(work) != StartResult::kNoTarget)
        continue;
      const bool is_hopeless = work->request.needs_primary &&
                               this->PrimarySilence() >= kSilentPrimary;
      const TimePoint held_until =
          work->request.received_at +
          duration_cast<Duration>(work->request.route.response_goal *
                                  kHoldShareWithoutTarget);
      const bool is_held = !is_hopeless && this->scheduler.Now() < held_until;
      if (is_held || work->running > 0)
        continue;
      this->queue.erase(work->key);
      work->is_queued = false;
      this->scheduler.Cancel(work->timer);
      this->Refuse(work, StatementErrorCode::kBusy, work->waits_for);
    }
  } while (this->has_more_to_dispatch);
  this->is_dispatching = false;
}

GroupDispatcher::StartResult GroupDispatcher::TryStart(
    const WorkPointer& work) {
  bool may_come = false;
  std::optional<Choice> choice = work->request.needs_primary
                                     ? this->ChoosePrimary(*work, may_come)
                                     : this->Choose(*work, may_come);
  if (!choice)
    return may_come ? StartResult::kWaits : StartResult::kNoTarget;
  this->queue.erase(work->key);
  work->is_queued = false;
  this->scheduler.Cancel(work->timer);
  this->Start(work, std::move(*choice));
  return StartResult::kStarted;
}

bool GroupDispatcher::is_usable(const TargetView& target) const {
  return target.entry.state == TargetState::kReady &&
         this->scheduler.Now() >= target.shed_until;
}

std::optional<GroupDispatcher::Choice> GroupDispatcher::ChoosePrimary(
    Work& work,
    bool& may_come) {
  const TimePoint now = this->scheduler.Now();
  const auto lease = this->leases.ValidAt(this->group, now);
  work.waits_for = "a lease on the primary";
  if (!lease)
    return std::nullopt;
  const auto found = this->target_by_name.find(lease->primary);
  work.waits_for = "the primary's entry";
  if (found == this->target_by_name.end())
    return std::nullopt;
  TargetView& view = *found->second;
  work.waits_for = "the leaving primary";
  if (view.leaving_since && now - *view.leaving_since > kLeavingPrimaryUse)
    return std::nullopt;
  work.waits_for = "a connection to the primary";
  may_come =
      view.pool->open_count() > 0 || this->PrimarySilence() < kSilentPrimary;
  if (now < view.shed_until)
    return std::nullopt;
  if (!view.pool->has_free()) {
    this->GetMoreLinks(view);
    return std::nullopt;
  }
  return Choice{found->second, std::nullopt, lease};
}

void GroupDispatcher::GetMoreLinks(TargetView& target) {
  // As many as there is work that waits.
  if (target.pool->opening_count() >= this->queue.size())
    return;
  if (!target.pool->Open())
    target.pool->Borrow();
}

std::optional<LogPoint> GroupDispatcher::RequiredPosition(
    const Work& work) const {
  const CallerRoute& route = work.request.route;
  if (route.kind == RouteKind::kPrimary)
    return std::nullopt;
  const PrimaryRecord* record = this->leases.Find(this->group);
  const Term newest_term = record ? record->term : Term{};
  const auto& session = work.request.session_point;
  // A commit of an earlier term is in the log of the newest one from its start,
  // or was discarded; any position of the newest term covers it.
  const bool is_from_earlier_term = session && session->term < newest_term;
  const TimePoint moment =
      this->scheduler.Now() - route.maximum_staleness + kAgeMargin;
  auto covering = this->proofs.Covering(
      moment, is_from_earlier_term ? newest_term : Term{});
  if (!covering)
    return std::nullopt;
  if (session && !is_from_earlier_term)
    covering = std::max(*covering, *session);
  return covering;
}

std::optional<GroupDispatcher::Choice> GroupDispatcher::Choose(Work& work,
                                                               bool& may_come) {
  const TimePoint now = this->scheduler.Now();
  const auto lease = this->leases.ValidAt(this->group, now);
  const auto required = this->RequiredPosition(work);
  work.waits_for = required ? "a target" : kNoProof;
  std::shared_ptr<TargetView> best;
  Duration best_cost = Duration::max();
  std::shared_ptr<TargetView> best_to_open;
  Duration best_cost_to_open = Duration::max();
  for (const auto& [name, view] : this->target_by_name) {
    const bool is_primary = lease && lease->primary == name;
    if (view->entry.state != TargetState::kReady)
      continue;
    if (!is_primary && !required)
      continue;
    may_come = true;
    if (!this->is_usable(*view) || work.avoided.contains(name))
      continue;
    if (!is_primary && view->is_behind(*required, now))
      continue;
    Duration cost = view->ExpectedTime(now);
    if (is_primary)
      cost += kPrimaryPenalty;
    if (view->entry.place != this->place)
      cost += kOtherPlacePenalty;
    if (view->pool->has_free()) {
      if (cost < best_cost) {
        best_cost = cost;
        best = view;
      }
    } else if (cost < best_cost_to_open) {
      best_cost_to_open = cost;
      best_to_open = view;
    }
  }
  if (best_to_open && best_cost_to_open < best_cost)
    this->GetMoreLinks(*best_to_open);
  if (!best)
    return std::nullopt;
  const bool is_primary = lease && lease->primary == best->entry.name;
  if (is_primary)
    return Choice{best, std::nullopt, lease};
  return Choice{best, required, std::nullopt};
}

void GroupDispatcher::Start(const WorkPointer& work, Choice choice) {
  const auto link = choice.target->pool->Take(*work->request.record);
  KINGCUPMILL_VERIFY(link != nullptr);
  if (!choice.target->pool->needs_probe(*link))
    return this->Send(work, choice, link);
  TargetCommand probe;
  probe.kind = TargetCommandKind::kProbe;
  const TimePoint sent_at = this->scheduler.Now();
  link->Send(std::move(probe), kProbeTimeout,
             this->life.Wrap([this, work, choice, link,
                              sent_at](std::optional<StatementAnswer> answer) {
               if (answer)
                 this->DidReceiveFrom(*choice.target, *answer, sent_at);
               this->DidProbe(work, choice, link, answer.has_value());
             }));
}

void GroupDispatcher::DidProbe(const WorkPointer& work,
                               const Choice& choice,
                               std::shared_ptr<TargetLink> link,
                               bool is_alive) {
  if (is_alive)
    return this->Send(work, choice, std::move(link));
  // Its siblings on the same path are as doubtful.
  choice.target->pool->Suspect(this->scheduler.Now());
  this->Release(choice.target, link);
  // The other connections were not tried; only a target that does not answer at
  // all is passed over.
  if (choice.target->pool->open_count() == 0)
    work->avoided.insert(choice.target->entry.name);
  this->Requeue(work);
}

void GroupDispatcher::Send(const WorkPointer& work,
                           const Choice& choice,
                           std::shared_ptr<TargetLink> link) {
  const TimePoint now = this->scheduler.Now();
  if (choice.lease && !this->may_use(*choice.lease)) {
    this->Release(choice.target, link);
    return this->Requeue(work);
  }
  const WorkRequest& request = work->request;
  const Duration timeout =
      request.received_at + request.route.statement_timeout - now;
  if (timeout <= Duration(0)) {
    this->Release(choice.target, link);
    return this->Refuse(work, StatementErrorCode::kBusy, "time");
  }
  ++work->running;
  const bool is_repeatable = !request.is_write && !request.opens_transaction;
  if (is_repeatable) {
    const Duration patience =
        std::max<Duration>(kHedgeAfter, 3 * choice.target->ExpectedTime(now));
    work->hedge_timer = this->scheduler.PostAfter(
        patience,
        this->life.Wrap([this, work, name = choice.target->entry.name] {
          this->DidHangOn(work, name);
        }));
  }
  TargetCommand command = request.command;
  command.required_position = choice.required_position;
  if (choice.lease)
    this->at_primary.emplace(work->number, AtPrimary{link, *choice.lease});
  const uint64_t sending = this->sent_statements.DidSend(
      choice.target, link,
      request.is_write ? SentStatements::Loss::kOutcome
                       : SentStatements::Loss::kNothing);
  this->journal.Write(
      EventJournal::Kind::kRouted,
      "event=routed request={} group={} target={} primary={} after={}.{} "
      "waited_ms={:.1f} attempt={} in_flight={}",
      request.caller_id, this->group.value, choice.target->entry.name.value,
      choice.lease.has_value(),
      choice.required_position ? choice.required_position->term.value : 0,
      choice.required_position ? choice.required_position->position.value : 0,
      static_cast<double>((now - request.received_at).count()) / 1000,
      work->attempts, choice.target->in_flight);
  link->SendFor(
      *request.record, std::move(command), timeout,
      this->life.Wrap([this, work, choice, link, sending,
                       sent_at = now](std::optional<StatementAnswer> answer) {
        this->sent_statements.DidEnd(sending);
        this->at_primary.erase(work->number);
        --work->running;
        this->DidReceive(work, choice, link, sent_at, std::move(answer));
      }));
}

void GroupDispatcher::DidReceive(const WorkPointer& work,
                                 const Choice& choice,
                                 const std::shared_ptr<TargetLink>& link,
                                 TimePoint sent_at,
                                 std::optional<StatementAnswer> answer) {
  const TimePoint now = this->scheduler.Now();
  const WorkRequest& request = work->request;
  if (work->is_finished) {
    // Another attempt was answered first.
    if (answer)
      this->DidReceiveFrom(*choice.target, *answer, sent_at);
    return this->Release(choice.target, link);
  }
  if (!answer) {
    this->Release(choice.target, link);
    if (work->running > 0 || work->is_queued)
      return;
    if (request.is_write) {
      WorkOutcome outcome;
      outcome.answer.error = StatementError{StatementErrorCode::kInDoubt,
                                            "the target's answer was lost"};
      return this->Finish(work, std::move(outcome));
    }
    if (now >= request.received_at + request.route.statement_timeout) {
      WorkOutcome outcome;
      outcome.answer.error =
          StatementError{StatementErrorCode::kTimeout, "no answer in time"};
      return this->Finish(work, std::move(outcome));
    }
    work->avoided.insert(choice.target->entry.name);
    return this->Requeue(work);
  }
  this->DidReceiveFrom(*choice.target, *answer, sent_at);
  if (!request.opens_transaction)
    choice.target->DidAnswer(now - sent_at, now);
  if (answer->error) {
    this->Release(choice.target, link);
    return this->DidReceiveError(work, choice, std::move(*answer));
  }
  // An answer of a primary that may no longer be used is no success.
  if (choice.lease && !this->may_use(*choice.lease)) {
    this->Release(choice.target, link);
    if (!request.is_write)
      return this->Requeue(work);
    WorkOutcome outcome;
    outcome.answer.error = StatementError{StatementErrorCode::kInDoubt,
                                          "the primary was replaced meanwhile"};
    return this->Finish(work, std::move(outcome));
  }
  WorkOutcome outcome;
  outcome.answer = std::move(*answer);
  if (request.opens_transaction &&
      outcome.answer.state == SessionState::kInTransaction) {
    outcome.transaction = std::make_unique<OpenTransaction>(
        *this, choice.target, link, request.route, choice.lease);
    return this->Finish(work, std::move(outcome));
  }
  this->Release(choice.target, link);
  this->Finish(work, std::move(outcome));
}

void GroupDispatcher::DidReceiveError(const WorkPointer& work,
                                      const Choice& choice,
                                      StatementAnswer answer) {
  const TargetName& name = choice.target->entry.name;
  this->journal.Write(EventJournal::Kind::kFailed,
                      "event=target_refused request={} group={} target={} "
                      "code={} message=\"{}\"",
                      work->request.caller_id, this->group.value, name.value,
                      static_cast<int>(answer.error->code),
                      answer.error->message);
  switch (answer.error->code) {
    case StatementErrorCode::kBusy:
      choice.target->DidShed(this->scheduler.Now());
      return this->Requeue(work);
    case StatementErrorCode::kLagging:
      // Its position is known now, so it is passed over while that holds.
      return this->Requeue(work);
    case StatementErrorCode::kNoPreparedStatement:
      // What this proxy believes of the connection is wrong.
      work->avoided.insert(name);
      return this->Requeue(work);
    case StatementErrorCode::kReadOnly:
      if (choice.lease && this->may_use(*choice.lease))
        this->did_primary_deny = true;
      return this->Requeue(work);
    case StatementErrorCode::kFailed:
    case StatementErrorCode::kTimeout:
      // A read may run again; another target may do better.
      if (!work->request.is_write && !work->request.needs_primary &&
          !work->avoided.contains(name)) {
        work->avoided.insert(name);
        return this->Requeue(work);
      }
      break;
    default:
      break;
  }
  WorkOutcome outcome;
  outcome.answer = std::move(answer);
  this->Finish(work, std::move(outcome));
}

void GroupDispatcher::Refuse(const WorkPointer& work,
                             StatementErrorCode code,
                             const char* reason) {
  const Duration come_back = this->ComeBackAfter();
  this->journal.Write(
      EventJournal::Kind::kRefused,
      "event=refused request={} group={} waits_for=\"{}\" waited_ms={} "
      "attempts={} queue={} primary_silent_ms={} come_back_ms={}",
      work->request.caller_id, this->group.value, reason,
      ToMilliseconds(this->scheduler.Now() - work->request.received_at),
      work->attempts, this->queue.size(),
      ToMilliseconds(this->PrimarySilence()), ToMilliseconds(come_back));
  WorkOutcome outcome;
  outcome.answer.error =
      StatementError{code, fmt::format("waited for {}; retry after {} ms",
                                       reason, ToMilliseconds(come_back))};
  this->Finish(work, std::move(outcome));
}

void GroupDispatcher::Finish(const WorkPointer& work, WorkOutcome outcome) {
  if (work->is_finished)
    return;
  work->is_finished = true;
  this->scheduler.Cancel(work->hedge_timer);
  if (std::exchange(work->is_queued, false)) {
    this->queue.erase(work->key);
    this->scheduler.Cancel(work->timer);
  }
  this->work_by_number.erase(work->number);
  const DidFinishWork did_finish = std::move(work->did_finish);
  did_finish(std::move(outcome));
}

Duration GroupDispatcher::ComeBackAfter() const {
  return this->leases.ValidAt(this->group, this->scheduler.Now())
             ? Duration(kComeBackWhenBusy)
             : Duration(kComeBackAfterFailover);
}

void GroupDispatcher::Release(const std::shared_ptr<TargetView>& target,
                              const std::shared_ptr<TargetLink>& link) {
  if (link->is_closed() || !link->is_in_transaction())
    return target->pool->GiveBack(link);
  this->RollBack(target, link);
}

void GroupDispatcher::RollBack(const std::shared_ptr<TargetView>& target,
                               const std::shared_ptr<TargetLink>& link) {
  TargetCommand rollback;
  rollback.kind = TargetCommandKind::kRollback;
  link->Send(std::move(rollback), kQueuedProbeTimeout,
             this->life.Wrap(
                 [this, target, link](std::optional<StatementAnswer> answer) {
                   if (!answer || link->is_in_transaction())
                     link->Close();
                   target->pool->GiveBack(link);
                   this->Prune();
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
    this->primary_answered_at = now;
    this->unanswered_since.reset();
  }
  if (!answer.position)
    return;
  target.DidObserve(*answer.position, now);
  // The lease holds at the answer, so the target was the primary all the while.
  const auto lease = this->leases.ValidAt(this->group, now);
  if (lease && lease->primary == target.entry.name &&
      answer.position->term == lease->term)
    this->proofs.Add(*answer.position, sent_at);
}

void GroupDispatcher::TakeProof(LogPoint point, TimePoint sent_at) {
  this->proofs.Add(point, sent_at);
}

bool GroupDispatcher::may_use(const PrimaryRecord& record) const {
  return this->leases.is_held(record, this->scheduler.Now());
}

void GroupDispatcher::DidOpenTransaction(OpenTransaction* transaction) {
  this->transactions.insert(transaction);
}

void GroupDispatcher::DidEndTransaction(
    OpenTransaction* transaction,
    const std::shared_ptr<TargetView>& target,
    const std::shared_ptr<TargetLink>& link) {
  this->transactions.erase(transaction);
  // What still runs is followed by a rollback on the same connection.
  if (!link->is_closed() && transaction->is_busy())
    return this->RollBack(target, link);
  this->Release(target, link);
}

void GroupDispatcher::DidChangeLeases() {
  const PrimaryRecord* record = this->leases.Find(this->group);
  if (record && record->version != this->primary_version) {
    // Before the primary was marked or replaced, its silence and its refusals
    // were answers to other questions. When it was heard last still counts
    // while it is the same: it may be used again for that.
    const bool is_same = this->primary_name == record->primary &&
                         this->primary_term == record->term;
    if (!is_same)
      this->primary_answered_at = TimePoint{};
    this->primary_name = record->primary;
    this->primary_term = record->term;
    this->primary_version = record->version;
    this->did_primary_deny = false;
    this->unanswered_since.reset();
  }
  // Ending one tells its caller, who may drop this and others.
  const std::vector<OpenTransaction*> open(this->transactions.begin(),
                                           this->transactions.end());
  for (OpenTransaction* transaction : open) {
    if (!this->transactions.contains(transaction))
      continue;
    const auto& lease = transaction->primary_lease();
    if (lease && !this->may_use(*lease))
      transaction->Abort();
  }
  std::vector<std::shared_ptr<TargetLink>> superseded;
  for (const auto& [number, statement] : this->at_primary) {
    if (!this->may_use(statement.lease))
      superseded.push_back(statement.link);
  }
  for (const auto& link : superseded)
    link->Close();
  this->Dispatch();
}

size_t GroupDispatcher::open_primary_work() const {
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

bool GroupDispatcher::hears_replicas() const {
  const TimePoint now = this->scheduler.Now();
  return std::any_of(this->target_by_name.begin(), this->target_by_name.end(),
                     [&](const auto& known) {
                       return known.first != this->primary_name &&
                              now - known.second->last_answer_at <
                                  std::chrono::seconds(1);
                     });
}

std::shared_ptr<TargetLink> GroupDispatcher::ControlLink(
    const TargetName& target) {
  const auto found = this->target_by_name.find(target);
  if (found == this->target_by_name.end())
    return nullptr;
  auto link = found->second->pool->AnyOpen();
  if (!link)
    found->second->pool->Open();
  return link;
}

bool GroupDispatcher::Lend(const TargetName& target,
                           std::shared_ptr<TargetView>& view,
                           std::shared_ptr<TargetLink>& link) {
  const auto found = this->target_by_name.find(target);
  if (found == this->target_by_name.end())
    return false;
  const std::shared_ptr<TargetLink> taken =
      found->second->pool->TakeOwn(SessionRecord());
  if (!taken) {
    found->second->pool->Open();
    return false;
  }
  view = found->second;
  link = taken;
  return true;
}

void GroupDispatcher::TakeBack(const std::shared_ptr<TargetView>& view,
                               const std::shared_ptr<TargetLink>& link) {
  if (!link->is_closed())
    link->Reset(kProbeTimeout, [link](const auto& answer) {
      if (!answer || answer->error)
        link->Close();
    });
  this->Release(view, link);
}

void GroupDispatcher::Tick() {
  const TimePoint now = this->scheduler.Now();
  for (const auto& link : this->sent_statements.FindLost(now))
    link->Close();
  this->Dispatch();
  this->Prune();
  // Connections are made before they are needed, off the path of statements.
  for (const auto& [name, view] : this->target_by_name) {
    if (view->pool->open_count() + view->pool->opening_count() == 0)
      view->pool->Open();
  }
  const bool is_due = now - this->probed_at >= kProbeInterval &&
                      now - this->primary_answered_at >= kProbeInterval;
  if (!is_due)
    return;
  this->probed_at = now;
  const bool is_primary_silent = this->PrimarySilence() > 2 * kProbeInterval;
  for (const auto& [name, view] : this->target_by_name) {
    const bool is_primary = name == this->primary_name;
    if (!is_primary && !is_primary_silent)
      continue;
    if (is_primary && !this->unanswered_since)
      this->unanswered_since = now;
    const auto link = view->pool->AnyOpen();
    if (!link) {
      view->pool->Open();
      continue;
    }
    TargetCommand probe;
    probe.kind = TargetCommandKind::kProbe;
    link->Send(std::move(probe), kQueuedProbeTimeout,
               this->life.Wrap([this, view = view, sent_at = now](
                                   std::optional<StatementAnswer> answer) {
                 if (answer)
                   this->DidReceiveFrom(*view, *answer, sent_at);
               }));
  }
}

}  // namespace kingcupmill
