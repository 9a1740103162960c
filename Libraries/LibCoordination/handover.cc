#include "LibCoordination/handover.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/event_journal.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibLink/target_link.h"

namespace kingcupmill {

namespace {

// Between two rounds of questions to members and targets: a few round trips.
constexpr Duration kAskInterval = std::chrono::milliseconds(40);
constexpr Duration kAskTimeout = std::chrono::milliseconds(500);
// A target that does not answer a command of its own accord within this is
// passed over for the moment.
constexpr Duration kCommandTimeout = std::chrono::milliseconds(400);
// How long an old primary that does not answer is tried.
constexpr Duration kStepDownLimit = std::chrono::milliseconds(250);
// How long replicas may take to receive what the old primary's log holds.
constexpr Duration kCatchUpLimit = std::chrono::milliseconds(800);
// How long replicas that have not answered are waited for before the best one
// is chosen.
constexpr Duration kReportLimit = std::chrono::milliseconds(250);
// An order is given up after this; the duty must last as long.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(900);
// The duty is extended when it would end sooner than this.
constexpr Duration kDutyReserve = std::chrono::milliseconds(1500);
// The pause after an order without an outcome.
constexpr Duration kOrderRetry = std::chrono::milliseconds(150);
// A promotion has taken effect by then.
constexpr Duration kPromotionLimit = std::chrono::milliseconds(1400);
// A promotion takes up to a second; one that has not happened by then is
// ordered again.
constexpr Duration kVerifyLimit = std::chrono::milliseconds(2500);
// A store call without an answer is made again after this. Its condition keeps
// it from taking effect twice.
constexpr Duration kStoreRetry = std::chrono::milliseconds(1300);
// A planned change that waits for a member longer than this is put off; the old
// primary works meanwhile.
constexpr Duration kPlannedWaitLimit = std::chrono::milliseconds(900);
// A primary that answered within this is not lost: it is asked every 200 ms.
constexpr Duration kHeardLately = std::chrono::milliseconds(300);
constexpr Duration kReopenAfter = std::chrono::milliseconds(600);

}  // namespace

Handover::Handover(Context context,
                   PrimaryRecord record,
                   Reason reason,
                   Reopen reopen)
    : context(std::move(context)),
      from(std::move(record)),
      reason(reason),
      reopen(reopen),
      step_entered_at(this->context.scheduler.Now()),
      started_at(this->context.scheduler.Now()) {
  this->context.journal.Write(
      EventJournal::Kind::kBelief,
      "event=handover_start group={} term={} primary={} planned={} state={} "
      "silent_ms={}",
      this->from.group.value, this->from.term.value, this->from.primary.value,
      reason == Reason::kPlanned,
      this->from.state == PrimaryState::kClosing ? "closing" : "serving",
      ToMilliseconds(this->context.group.PrimarySilence()));
}

void Handover::Enter(Step next) {
  const TimePoint now = this->context.scheduler.Now();
  this->context.journal.Write(
      EventJournal::Kind::kBelief,
      "event=handover_step group={} from_step={} to_step={} step_ms={} "
      "total_ms={} epoch={}",
      this->from.group.value, static_cast<int>(this->step),
      static_cast<int>(next), ToMilliseconds(this->InStep()),
      ToMilliseconds(now - this->started_at), this->context.duty.epoch());
  this->step = next;
  this->step_entered_at = now;
  this->is_call_pending = false;
  this->asked_at = TimePoint{};
}

Duration Handover::InStep() const {
  return this->context.scheduler.Now() - this->step_entered_at;
}

const PrimaryRecord* Handover::Newest() const {
  for (const PrimaryRecord& record : this->context.view.primaries()) {
    if (record.group == this->from.group)
      return &record;
  }
  return nullptr;
}

void Handover::Tick() {
  // Somebody else has finished it.
  const PrimaryRecord* newest = this->Newest();
  const bool is_reopened = newest && newest->version > this->from.version &&
                           newest->state == PrimaryState::kServing &&
                           this->step > Step::kClose;
  const bool is_over =
      newest && (newest->term > this->from.term || is_reopened);
  if (is_over && this->step != Step::kDone)
    return this->Enter(Step::kDone);
  if (this->step == Step::kDone)
    return;
  if (!this->context.duty.is_held_for(kDutyReserve))
    this->context.duty.Take();
  if (this->step != Step::kTakeDuty && !this->context.duty.is_held())
    return;
  switch (this->step) {
    case Step::kTakeDuty:
      if (this->context.duty.is_held())
        this->Enter(Step::kClose);
      else if (this->context.duty.is_taken_by_other())
        this->Enter(Step::kDone);
      return;
    case Step::kClose:
      return this->TickClose();
    case Step::kWaitForMembers:
      return this->TickWaitForMembers();
    case Step::kStepDown:
      return this->TickStepDown();
    case Step::kChoose:
      return this->TickChoose();
    case Step::kIntend:
      return this->TickIntend();
    case Step::kPromote:
      return this->TickPromote();
    case Step::kVerify:
      return this->TickVerify();
    case Step::kRecord:
    case Step::kReopen:
      return this->TickRecord(this->next);
    case Step::kDone:
      return;
  }
}

void Handover::TickClose() {
  const TimePoint now = this->context.scheduler.Now();
  const PrimaryRecord* newest = this->Newest();
  if (newest && newest->state == PrimaryState::kClosing) {
    this->from = *newest;
    this->closed_at = now;
    // Whoever marked it may have stepped it down.
    this->reopen = Reopen::kForbidden;
    return this->Enter(Step::kWaitForMembers);
  }
  if (this->is_call_pending && now - this->call_sent_at < kStoreRetry)
    return;
  PrimaryRecord closing = newest ? *newest : this->from;
  closing.state = PrimaryState::kClosing;
  closing.is_planned = this->reason == Reason::kPlanned;
  const std::string key = CoordinationView::PrimaryKey(closing.group);
  TableChange change;
  change.expected.push_back({key, closing.version});
  change.puts.push_back({key, CoordinationView::Encode(closing)});
  this->is_call_pending = true;
  this->call_sent_at = now;
  this->context.store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this, closing](ValueOrError<ChangeOutcome> outcome) {
        if (this->step != Step::kClose)
          return;
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        if (!applied || !applied->is_applied)
          return;
        this->from = closing;
        this->from.version = applied->version;
        this->closed_at = this->context.scheduler.Now();
        this->Enter(Step::kWaitForMembers);
        this->Tick();
      }));
}

std::vector<std::string> Handover::Unstopped() const {
  std::vector<std::string> addresses;
  for (const auto& [address, member] : this->context.view.members()) {
    if (address != this->context.self_address &&
        member.home_of.contains(this->from.group) &&
        !this->stopped.contains(address))
      addresses.push_back(address);
  }
  return addresses;
}

bool Handover::has_everyone_stopped(TimePoint now) {
  bool is_everyone = this->context.stop_locally(this->from);
  for (const std::string& address : this->Unstopped()) {
    const auto gone_at = this->context.view.gone_seen_at(address);
    if (gone_at && now >= *gone_at + this->context.lease_wait)
      continue;
    is_everyone = false;
  }
  return is_everyone;
}

void Handover::TickWaitForMembers() {
  const TimePoint now = this->context.scheduler.Now();
  // A member may have registered after this proxy's last read of the table and
  // before the primary was marked; only a read since then shows all.
  const bool is_view_recent = [&] {
    const PrimaryRecord* newest = this->Newest();
    return newest && newest->version >= this->from.version;
  }();
  const bool is_alive = this->context.group.PrimaryHeardAge() < kHeardLately ||
                        now - this->heard_alive_at < kHeardLately;
  const bool should_reopen = this->reason == Reason::kPlanned
                                 ? now >= this->closed_at + kPlannedWaitLimit
                                 : now >= this->closed_at + kReopenAfter;
  if (should_reopen && is_alive && this->reopen == Reopen::kAllowed) {
    this->next = this->from;
    this->next.state = PrimaryState::kServing;
    return this->Enter(Step::kReopen);
  }
  if (is_view_recent && this->has_everyone_stopped(now))
    return this->Enter(Step::kStepDown);
  if (now >= this->closed_at + this->context.lease_wait) {
    this->context.stop_locally(this->from);
    for (const std::string& address : this->Unstopped()) {
      if (!this->context.view.gone_seen_at(address))
        this->absent_members.insert(address);
    }
    return this->Enter(Step::kStepDown);
  }
  if (now - this->asked_at < kAskInterval)
    return;
  this->asked_at = now;
  this->AskMembers();
}

void Handover::AskMembers() {
  for (const std::string& address : this->Unstopped()) {
    this->context.peers.Ask(
        address, CloseQuery{this->from}, kAskTimeout,
        this->life.Wrap([this, address](std::optional<PeerAnswer> answer) {
          const auto* closed =
              answer ? std::get_if<CloseAnswer>(&*answer) : nullptr;
          if (closed && closed->primary_heard_age < kHeardLately)
            this->heard_alive_at = this->context.scheduler.Now();
          if (!closed || !closed->has_stopped)
            return;
          if (!this->stopped.insert(address).second)
            return;
          this->context.journal.Write(
              EventJournal::Kind::kBelief,
              "event=member_stopped group={} member={} after_ms={}",
              this->from.group.value, address,
              ToMilliseconds(this->context.scheduler.Now() - this->closed_at));
          if (this->step == Step::kWaitForMembers)
            this->Tick();
        }));
  }
}

void Handover::TickStepDown() {
  const auto link = this->context.group.ControlLink(this->from.primary);
  if (link && !this->did_ask_step_down) {
    this->did_ask_step_down = true;
    TargetCommand command;
    command.kind = TargetCommandKind::kStepDown;
    command.term = Term{this->from.term.value + 1};
    link->Send(std::move(command), kCommandTimeout,
               this->life.Wrap([this](std::optional<StatementAnswer> answer) {
                 if (!answer || !answer->report)
                   return;
                 this->final_point = answer->report->received;
                 if (this->step == Step::kStepDown) {
                   this->Enter(Step::kChoose);
                   this->Tick();
                 }
               }));
  }
  if (this->InStep() >= kStepDownLimit)
    this->Enter(Step::kChoose);
}

void Handover::AskReport(const TargetName& target) {
  const auto link = this->context.group.ControlLink(target);
  if (!link)
    return;
  TargetCommand command;
  command.kind = TargetCommandKind::kStatus;
  link->Send(
      std::move(command), kCommandTimeout,
      this->life.Wrap([this, target](std::optional<StatementAnswer> answer) {
        if (answer && answer->report)
          this->DidReport(target, *answer);
      }));
}

void Handover::DidReport(const TargetName& target,
                         const StatementAnswer& answer) {
  const TargetReport& report = *answer.report;
  this->reports[target] = report;
  // Only the target that the store names may lead, and with a rival it leads
  // for sure only once its own promotion has had its time.
  const bool is_settled = !this->has_rival || this->InStep() >= kPromotionLimit;
  // A primary that was lost may come back under another name, in its old term.
  const bool leads =
      report.is_primary &&
      (report.term > this->from.term ||
       (report.term == this->from.term && target != this->from.primary));
  if (this->step == Step::kVerify && target == this->chosen && is_settled &&
      leads)
    return this->Leads(target, report.term);
  if (this->step == Step::kChoose)
    this->Tick();
}

void Handover::Leads(const TargetName& target, Term term) {
  this->next = this->from;
  this->next.term = term;
  this->next.primary = target;
  this->next.state = PrimaryState::kServing;
  this->next.is_planned = false;
  this->next.ordered = TargetName{};
  this->Enter(Step::kRecord);
  this->Tick();
}

void Handover::TickChoose() {
  const TimePoint now = this->context.scheduler.Now();
  // An earlier holder of the duty may have ordered this one already.
  const TargetName& ordered = this->from.ordered;
  if (!ordered.value.empty() && !this->excluded.contains(ordered)) {
    this->chosen = ordered;
    return this->Enter(Step::kPromote);
  }
  const std::set<TargetName> candidates = this->context.candidates();
  if (now - this->asked_at >= kAskInterval) {
    this->asked_at = now;
    for (const TargetName& target : candidates) {
      if (target != this->from.primary)
        this->AskReport(target);
    }
  }
  const TargetName* best = nullptr;
  bool has_all = true;
  for (const TargetName& target : candidates) {
    if (target == this->from.primary || this->excluded.contains(target))
      continue;
    const auto report = this->reports.find(target);
    if (report == this->reports.end()) {
      has_all = false;
      continue;
    }
    const auto merit = [](const TargetReport& value) {
      return std::pair(value.received, value.is_primary);
    };
    if (!best || merit(report->second) > merit(this->reports.at(*best)))
      best = &report->first;
  }
  if (!best) {
    // Every one refused to lead; they may have come back.
    if (this->InStep() > kVerifyLimit)
      this->excluded.clear();
    return;
  }
  const bool has_caught_up =
      this->final_point &&
      this->reports.at(*best).received >= *this->final_point;
  const bool is_worth_waiting =
      (!has_all && this->InStep() < kReportLimit) ||
      (this->final_point && !has_caught_up && this->InStep() < kCatchUpLimit);
  if (is_worth_waiting)
    return;
  this->chosen = *best;
  this->context.journal.Write(
      EventJournal::Kind::kBelief,
      "event=handover_choice group={} target={} received={}.{} final={}.{} "
      "reports={}",
      this->from.group.value, this->chosen.value,
      this->reports.at(*best).received.term.value,
      this->reports.at(*best).received.position.value,
      this->final_point ? this->final_point->term.value : 0,
      this->final_point ? this->final_point->position.value : 0,
      this->reports.size());
  this->Enter(Step::kIntend);
  this->TickIntend();
}

void Handover::TickIntend() {
  const TimePoint now = this->context.scheduler.Now();
  if (this->is_call_pending && now - this->call_sent_at < kStoreRetry)
    return;
  // The row as the store has it, when the answer to an earlier try was lost.
  if (const PrimaryRecord* newest = this->Newest();
      newest && newest->version > this->from.version)
    this->from = *newest;
  if (this->from.ordered == this->chosen)
    return this->Enter(Step::kPromote);
  PrimaryRecord intended = this->from;
  intended.ordered = this->chosen;
  const std::string key = CoordinationView::PrimaryKey(intended.group);
  TableChange change;
  change.expected.push_back({key, this->from.version});
  change.puts.push_back({key, CoordinationView::Encode(intended)});
  this->is_call_pending = true;
  this->call_sent_at = now;
  this->context.store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this, intended](ValueOrError<ChangeOutcome> outcome) {
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        if (this->step != Step::kIntend || !applied || !applied->is_applied)
          return;
        this->has_rival = this->has_rival || !this->from.ordered.value.empty();
        this->from = intended;
        this->from.version = applied->version;
        this->Enter(Step::kPromote);
        this->Tick();
      }));
}

void Handover::TickPromote() {
  const TimePoint now = this->context.scheduler.Now();
  if (this->is_call_pending || now - this->asked_at < kOrderRetry)
    return;
  if (!this->context.duty.is_held_for(kOrderTimeout + kAskInterval))
    return;
  this->asked_at = now;
  this->is_call_pending = true;
  PromotionAuthority::Order order;
  order.group = this->from.group;
  order.target = this->chosen;
  order.holder = this->context.self;
  order.epoch = this->context.duty.epoch();
  this->context.journal.Write(
      EventJournal::Kind::kBelief,
      "event=promotion_order group={} target={} epoch={}",
      this->from.group.value, this->chosen.value, order.epoch);
  this->context.authority.Promote(
      order, kOrderTimeout, this->life.Wrap([this](PromotionOutcome outcome) {
        this->is_call_pending = false;
        this->context.journal.Write(
            EventJournal::Kind::kBelief,
            "event=promotion_answer group={} target={} outcome={}",
            this->from.group.value, this->chosen.value,
            static_cast<int>(outcome));
        if (this->step != Step::kPromote)
          return;
        if (outcome == PromotionOutcome::kAccepted)
          return this->Enter(Step::kVerify);
        if (outcome != PromotionOutcome::kNotRunning)
          return;
        this->excluded.insert(this->chosen);
        this->reports.erase(this->chosen);
        this->Enter(Step::kChoose);
      }));
}

void Handover::TickVerify() {
  const TimePoint now = this->context.scheduler.Now();
  if (this->InStep() > kVerifyLimit) {
    this->reports.clear();
    this->excluded.insert(this->chosen);
    return this->Enter(Step::kChoose);
  }
  if (now - this->asked_at < kAskInterval)
    return;
  this->asked_at = now;
  this->AskReport(this->chosen);
}

void Handover::TickRecord(const PrimaryRecord& wanted) {
  const TimePoint now = this->context.scheduler.Now();
  const PrimaryRecord* newest = this->Newest();
  if (newest && newest->version > this->from.version &&
      newest->state == PrimaryState::kServing)
    return this->Enter(Step::kDone);
  if (this->is_call_pending && now - this->call_sent_at < kStoreRetry)
    return;
  const std::string key = CoordinationView::PrimaryKey(wanted.group);
  TableChange change;
  change.expected.push_back(
      {key, newest ? std::max(newest->version, this->from.version)
                   : this->from.version});
  change.puts.push_back({key, CoordinationView::Encode(wanted)});
  this->is_call_pending = true;
  this->call_sent_at = now;
  this->context.store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this](ValueOrError<ChangeOutcome> outcome) {
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        if (applied && applied->is_applied && this->step != Step::kDone)
          this->Enter(Step::kDone);
      }));
}

}  // namespace kingcupmill
