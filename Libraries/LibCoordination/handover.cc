#include "LibCoordination/handover.h"

#include <algorithm>
#include <utility>

#include "LibCoordination/silent_member.h"
#include "LibDispatch/event_log.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibLink/pooled_connection.h"

namespace kingcupmill {

namespace {

// Interval between two rounds of queries to members and targets; covers a few
// round trips.
constexpr Duration kQueryInterval = std::chrono::milliseconds(40);
constexpr Duration kQueryTimeout = std::chrono::milliseconds(500);
// A target that does not answer a command within this is skipped for now.
constexpr Duration kCommandTimeout = std::chrono::milliseconds(400);
// How long to wait for the old primary to confirm that it stepped down.
constexpr Duration kStepDownTimeout = std::chrono::milliseconds(250);
// How long to wait for a replica to receive all of the old primary's log, and
// for it to receive any more of it.
constexpr Duration kCatchUpTimeout = std::chrono::milliseconds(800);
constexpr Duration kCatchUpProgressTimeout = std::chrono::milliseconds(200);
// How long to wait for replicas that have not reported their status before one
// is chosen without them.
constexpr Duration kStatusTimeout = std::chrono::milliseconds(250);
// Waiting for reports longer than the first is logged, and again at the second
// interval.
constexpr Duration kAwaitedReportsLogDelay = std::chrono::milliseconds(300);
constexpr Duration kAwaitedReportsLogInterval = std::chrono::seconds(1);
// A handover that waits for reports yields after this.
constexpr Duration kYieldDelay = std::chrono::seconds(3);
// Pause before the promotion of a target that holds commits which no other one
// may hold is ordered again.
constexpr Duration kReorderDelay = std::chrono::milliseconds(500);
// Timeout of a promotion order. It is sent only if the lease of the coordinator
// lasts longer.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(900);
// The lease of the coordinator is renewed when it would expire within this.
constexpr Duration kLeaseRenewalMargin = std::chrono::milliseconds(1500);
// Pause before an order with an unknown outcome is sent again.
constexpr Duration kOrderRetryDelay = std::chrono::milliseconds(150);
// An accepted promotion has taken effect by then.
constexpr Duration kPromotionDuration = std::chrono::milliseconds(1400);
// A promotion takes up to a second. If the chosen target is not primary by
// then, a target is chosen again.
constexpr Duration kVerifyTimeout = std::chrono::milliseconds(2500);
// A store request without an answer is sent again after this. The expected
// version keeps it from taking effect twice.
constexpr Duration kStoreRetryInterval = std::chrono::milliseconds(1300);
// Before a planned handover closes the primary, a member that has not answered
// for this long is barred.
constexpr Duration kPrepareSilence = std::chrono::milliseconds(400);
// A planned handover closes the primary after this, however many members are
// silent: the primary shuts down soon.
constexpr Duration kPrepareTimeout = std::chrono::milliseconds(3000);
// Waiting for members longer than this is logged.
constexpr Duration kAwaitedLogDelay = std::chrono::milliseconds(500);
// A planned handover that has waited longer than this for a member is put off,
// and the old primary serves meanwhile.
constexpr Duration kPlannedReopenDelay = std::chrono::milliseconds(900);
// A primary that answered within this is not lost; it is probed every 200 ms.
constexpr Duration kRecentAnswerAge = std::chrono::milliseconds(300);
// A handover of a seemingly lost primary is undone after this if the primary
// answers.
constexpr Duration kReopenDelay = std::chrono::milliseconds(600);

}  // namespace

Handover::Handover(Context context,
                   PrimaryRecord record,
                   Reason reason,
                   Reopen reopen)
    : context(std::move(context)),
      old_record(std::move(record)),
      reason(reason),
      reopen(reopen),
      step_entered_at(this->context.scheduler.Now()),
      started_at(this->context.scheduler.Now()),
      promised_until(this->context.promised_until),
      status_queries(
          this->context.scheduler,
          this->context.group,
          [this](const TargetName& target, const TargetReport& report) {
            this->DidReceiveReport(target, report);
          }) {
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=handover_start group={} term={} primary={} planned={} state={} "
      "silent_ms={}",
      this->old_record.group.value, this->old_record.term.value,
      this->old_record.primary.value, reason == Reason::kPlanned,
      this->old_record.state == PrimaryState::kClosing ? "closing" : "serving",
      ToMilliseconds(this->context.group.PrimarySilence()));
}

const char* Handover::NameOf(Step step) {
  switch (step) {
    case Step::kAcquireLease:
      return "acquire_lease";
    case Step::kPrepare:
      return "prepare";
    case Step::kClose:
      return "close";
    case Step::kWaitForMembers:
      return "wait_for_members";
    case Step::kStepDown:
      return "step_down";
    case Step::kChoose:
      return "choose";
    case Step::kRecordChoice:
      return "record_choice";
    case Step::kPromote:
      return "promote";
    case Step::kVerify:
      return "verify";
    case Step::kRecordPrimary:
      return "record_primary";
    case Step::kReopen:
      return "reopen";
    case Step::kDone:
      return "done";
  }
  return "";
}

void Handover::Enter(Step next) {
  const TimePoint now = this->context.scheduler.Now();
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=handover_step group={} from_step={} to_step={} step_ms={} "
      "total_ms={} epoch={}",
      this->old_record.group.value, NameOf(this->step), NameOf(next),
      ToMilliseconds(this->TimeInStep()),
      ToMilliseconds(now - this->started_at),
      this->context.coordinator_lease.epoch());
  this->step = next;
  this->step_entered_at = now;
  this->is_request_pending = false;
  this->queried_at = TimePoint{};
}

Duration Handover::TimeInStep() const {
  return this->context.scheduler.Now() - this->step_entered_at;
}

const PrimaryRecord* Handover::NewestRecord() const {
  for (const PrimaryRecord& record : this->context.view.primaries()) {
    if (record.group == this->old_record.group)
      return &record;
  }
  return nullptr;
}

void Handover::Tick() {
  Step before;
  do {
    before = this->step;
    this->TickStep();
  } while (this->step != before && this->step != Step::kDone);
}

void Handover::TickStep() {
  if (EraOf(this->old_record.version) != this->context.view.era()) {
    // The store was restored and may have lost what this handover has written.
    if (this->step != Step::kDone)
      this->Enter(Step::kDone);
    return;
  }
  // Another proxy has replaced or reopened the primary.
  const PrimaryRecord* newest = this->NewestRecord();
  const bool is_reopened =
      newest && newest->version > this->old_record.version &&
      newest->state == PrimaryState::kServing && this->step > Step::kClose;
  const bool is_over =
      newest && (newest->term > this->old_record.term || is_reopened);
  if (is_over && this->step != Step::kDone)
    return this->Enter(Step::kDone);
  if (this->step == Step::kDone)
    return;
  // While the store could not be written, the primary has come back.
  const bool has_closed = this->step > Step::kClose ||
                          this->old_record.state == PrimaryState::kClosing ||
                          this->is_request_pending;
  if (!has_closed && this->reason == Reason::kLost &&
      this->reopen == Reopen::kAllowed && this->is_primary_alive())
    return this->Enter(Step::kDone);
  if (!this->context.coordinator_lease.is_held_for(kLeaseRenewalMargin))
    this->context.coordinator_lease.Acquire();
  if (this->step != Step::kAcquireLease &&
      !this->context.coordinator_lease.is_held())
    return;
  switch (this->step) {
    case Step::kAcquireLease:
      if (this->context.coordinator_lease.is_held())
        this->Enter(Step::kPrepare);
      else if (this->context.coordinator_lease.is_held_by_other())
        this->Enter(Step::kDone);
      return;
    case Step::kPrepare:
      return this->TickPrepare();
    case Step::kClose:
      return this->TickClose();
    case Step::kWaitForMembers:
      return this->TickWaitForMembers();
    case Step::kStepDown:
      return this->TickStepDown();
    case Step::kChoose:
      return this->TickChoose();
    case Step::kRecordChoice:
      return this->TickRecordChoice();
    case Step::kPromote:
      return this->TickPromote();
    case Step::kVerify:
      return this->TickVerify();
    case Step::kRecordPrimary:
    case Step::kReopen:
      return this->TickRecordPrimary(this->next_record);
    case Step::kDone:
      return;
  }
}

void Handover::TickPrepare() {
  const TimePoint now = this->context.scheduler.Now();
  const bool is_serving = this->old_record.state == PrimaryState::kServing;
  if (this->reason != Reason::kPlanned || !is_serving ||
      this->reopen == Reopen::kForbidden ||
      this->TimeInStep() >= kPrepareTimeout)
    return this->Enter(Step::kClose);
  bool is_any_awaited = false;
  for (const std::string& address : this->MembersNotStopped()) {
    const auto answered = this->answered_at.find(address);
    const TimePoint heard = answered == this->answered_at.end()
                                ? this->step_entered_at
                                : answered->second;
    const bool has_answered = answered != this->answered_at.end() &&
                              now - answered->second < kPrepareSilence;
    if (has_answered || this->LeaseEndOf(address, now) <= now)
      continue;
    is_any_awaited = true;
    if (now - heard >= kPrepareSilence)
      this->context.bar_member(address);
  }
  if (!is_any_awaited)
    return this->Enter(Step::kClose);
  if (now - this->queried_at < kQueryInterval)
    return;
  this->queried_at = now;
  for (const std::string& address : this->MembersNotStopped())
    this->QueryHealth(address);
}

void Handover::TickClose() {
  const TimePoint now = this->context.scheduler.Now();
  const PrimaryRecord* newest = this->NewestRecord();
  if (newest && newest->state == PrimaryState::kClosing) {
    this->old_record = *newest;
    this->closed_at = now;
    // The proxy that marked it may already have stepped it down.
    this->reopen = Reopen::kForbidden;
    return this->Enter(Step::kWaitForMembers);
  }
  if (this->is_request_pending &&
      now - this->request_sent_at < kStoreRetryInterval)
    return;
  const auto self =
      this->context.view.members().find(this->context.self_address);
  if (self == this->context.view.members().end() || !self->second.has_leases())
    return;
  PrimaryRecord closing = newest ? *newest : this->old_record;
  closing.state = PrimaryState::kClosing;
  closing.is_planned = this->reason == Reason::kPlanned;
  const std::string key = CoordinationView::PrimaryKey(closing.group);
  TableChange change;
  change.expected.push_back({key, closing.version});
  change.expected.push_back(
      {CoordinationView::MemberKey(this->context.self_address),
       self->second.version});
  change.puts.push_back(
      {key, CoordinationView::Encode(closing, EraOf(closing.version))});
  this->is_request_pending = true;
  this->request_sent_at = now;
  this->context.store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this, closing](ValueOrError<ChangeOutcome> outcome) {
        if (this->step != Step::kClose)
          return;
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        if (!applied || !applied->is_applied ||
            EraOf(applied->version) != EraOf(closing.version))
          return;
        this->old_record = closing;
        this->old_record.version = applied->version;
        this->closed_at = this->context.scheduler.Now();
        this->Enter(Step::kWaitForMembers);
        this->Tick();
      }));
}

std::vector<std::string> Handover::MembersNotStopped() const {
  std::vector<std::string> addresses;
  for (const auto& [address, member] : this->context.view.members()) {
    if (address != this->context.self_address &&
        member.home_of.contains(this->old_record.group) &&
        !this->stopped_members.contains(address))
      addresses.push_back(address);
  }
  return addresses;
}

bool Handover::may_silent_extend(TimePoint closed_at) const {
  const CoordinationView& view = this->context.view;
  size_t homes = 0;
  size_t silent = 0;
  for (const auto& [address, member] : view.members()) {
    if (!member.home_of.contains(this->old_record.group))
      continue;
    ++homes;
    // Before the primary is closing, a member that answers is expected to stop.
    const bool will_stop =
        this->step == Step::kPrepare && this->answered_at.contains(address);
    const bool has_stopped = address == this->context.self_address ||
                             this->stopped_members.contains(address) ||
                             will_stop;
    // What an earlier process at its address promised is not known to it.
    const bool is_new = view.registration_seen_at(address).value_or(closed_at) +
                            this->context.lease_terms.maximum_length >
                        closed_at;
    if (!has_stopped || is_new)
      ++silent;
  }
  return 2 * silent > homes;
}

TimePoint Handover::LeaseEndOf(const std::string& address,
                               TimePoint closed_at) const {
  const CoordinationView& view = this->context.view;
  const MemberRecord& member = view.members().at(address);
  SilentMember silent;
  silent.lease_length =
      member.lease_length.value_or(this->context.lease_terms.maximum_length);
  silent.closed_at = closed_at;
  if (!member.has_leases())
    silent.excluded_at = view.member_seen_at(address);
  silent.may_be_extended = this->may_silent_extend(closed_at);
  return std::max(LatestLeaseEnd(silent, this->context.lease_terms),
                  this->promised_until + this->context.lease_terms.slack);
}

TimePoint Handover::EarlierLeaseEnd() const {
  const CoordinationView& view = this->context.view;
  if (!view.has_earlier_era())
    return TimePoint{};
  SilentMember unknown;
  unknown.lease_length = this->context.lease_terms.length;
  unknown.closed_at = view.era_seen_at();
  unknown.may_be_extended = this->may_silent_extend(view.era_seen_at());
  return LatestLeaseEnd(unknown, this->context.lease_terms);
}

bool Handover::have_all_stopped(TimePoint now) {
  if (!this->context.release_own_lease(this->old_record))
    return false;
  if (now < this->EarlierLeaseEnd())
    return false;
  const std::vector<std::string> awaited = this->MembersNotStopped();
  return std::all_of(awaited.begin(), awaited.end(),
                     [&](const std::string& address) {
                       return now >= this->LeaseEndOf(address, this->closed_at);
                     });
}

bool Handover::is_primary_alive() const {
  const TimePoint now = this->context.scheduler.Now();
  const bool has_answered =
      this->context.group.PrimaryAnswerAge() < kRecentAnswerAge ||
      now - this->primary_alive_at < kRecentAnswerAge;
  // A target that is no longer listed as ready has to be replaced even if it
  // answers; one that shuts down as planned can serve a little longer.
  return has_answered && (this->reason == Reason::kPlanned ||
                          this->is_ready(this->old_record.primary));
}

bool Handover::is_ready(const TargetName& target) const {
  const std::vector<SuccessorCandidate> targets = this->context.targets();
  return std::any_of(targets.begin(), targets.end(), [&](const auto& known) {
    return known.name == target &&
           known.standing == SuccessorCandidate::Standing::kReady;
  });
}

void Handover::LogAwaitedMembers() {
  const TimePoint now = this->context.scheduler.Now();
  if (this->has_logged_awaited || now - this->closed_at < kAwaitedLogDelay)
    return;
  this->has_logged_awaited = true;
  for (const std::string& address : this->MembersNotStopped()) {
    const MemberRecord& member = this->context.view.members().at(address);
    this->context.event_log.Write(
        EventLog::Kind::kStateChange,
        "event=member_awaited group={} member={} excluded={} "
        "may_be_extended={} promised_for_ms={} lease_ends_in_ms={}",
        this->old_record.group.value, address, !member.has_leases(),
        this->may_silent_extend(this->closed_at),
        std::max<int64_t>(0, ToMilliseconds(this->promised_until - now)),
        ToMilliseconds(this->LeaseEndOf(address, this->closed_at) - now));
  }
}

void Handover::TickWaitForMembers() {
  const TimePoint now = this->context.scheduler.Now();
  // A member may have registered between this proxy's last read of the table
  // and the closing write, so only a later read shows all members.
  const bool is_view_recent = [&] {
    const PrimaryRecord* newest = this->NewestRecord();
    return newest && newest->version >= this->old_record.version;
  }();
  const bool should_reopen = this->reason == Reason::kPlanned
                                 ? now >= this->closed_at + kPlannedReopenDelay
                                 : now >= this->closed_at + kReopenDelay;
  if (should_reopen && this->reopen == Reopen::kAllowed &&
      this->is_primary_alive()) {
    this->next_record = this->old_record;
    this->next_record.state = PrimaryState::kServing;
    return this->Enter(Step::kReopen);
  }
  if (is_view_recent && this->have_all_stopped(now)) {
    for (const std::string& address : this->MembersNotStopped()) {
      if (this->context.view.members().at(address).has_leases())
        this->unresponsive.insert(address);
    }
    return this->Enter(Step::kStepDown);
  }
  this->LogAwaitedMembers();
  if (now - this->queried_at < kQueryInterval)
    return;
  this->queried_at = now;
  this->QueryMembers();
}

void Handover::QueryMembers() {
  // A member that has stopped still probes the primary, and may be the first to
  // reach it again.
  for (const std::string& address : this->stopped_members) {
    if (this->reopen == Reopen::kAllowed)
      this->QueryHealth(address);
  }
  for (const std::string& address : this->MembersNotStopped()) {
    this->context.peers.Ask(
        address, ClosePrimaryQuery{this->old_record}, kQueryTimeout,
        this->life.Wrap([this, address](std::optional<PeerAnswer> answer) {
          const auto* closed =
              answer ? std::get_if<ClosePrimaryAnswer>(&*answer) : nullptr;
          if (closed && closed->primary_answer_age < kRecentAnswerAge)
            this->primary_alive_at = this->context.scheduler.Now();
          if (!closed || !closed->has_stopped)
            return;
          if (!this->stopped_members.insert(address).second)
            return;
          this->promised_until =
              std::max(this->promised_until,
                       this->context.scheduler.Now() + closed->promised_for);
          this->context.event_log.Write(
              EventLog::Kind::kStateChange,
              "event=member_stopped group={} member={} after_ms={}",
              this->old_record.group.value, address,
              ToMilliseconds(this->context.scheduler.Now() - this->closed_at));
          if (this->step == Step::kWaitForMembers)
            this->Tick();
        }));
  }
}

void Handover::QueryHealth(const std::string& address) {
  this->context.peers.Ask(
      address, HealthQuery{this->old_record.group}, kQueryTimeout,
      this->life.Wrap([this, address](std::optional<PeerAnswer> answer) {
        const auto* health =
            answer ? std::get_if<HealthAnswer>(&*answer) : nullptr;
        if (!health)
          return;
        const TimePoint now = this->context.scheduler.Now();
        this->answered_at[address] = now;
        if (health->primary_answer_age < kRecentAnswerAge)
          this->primary_alive_at = now;
        if (this->step == Step::kPrepare)
          this->Tick();
      }));
}

void Handover::TickStepDown() {
  const auto connection =
      this->context.group.ControlConnection(this->old_record.primary);
  if (connection && !this->did_send_step_down) {
    this->did_send_step_down = true;
    TargetCommand command;
    command.kind = TargetCommandKind::kStepDown;
    command.term = Term{this->old_record.term.value + 1};
    connection->Send(
        std::move(command), kCommandTimeout,
        this->life.Wrap([this](std::optional<StatementAnswer> answer) {
          if (!answer || !answer->report)
            return;
          this->reports[this->old_record.primary] = *answer->report;
          if (this->is_complete_log(*answer->report))
            this->final_point = answer->report->received;
          if (this->step == Step::kStepDown) {
            this->Enter(Step::kChoose);
            this->Tick();
          }
        }));
  }
  if (this->TimeInStep() >= kStepDownTimeout)
    this->Enter(Step::kChoose);
}

void Handover::QueryTargets() {
  for (const SuccessorCandidate& target : this->context.targets())
    this->QueryStatus(target.name);
}

void Handover::QueryStatus(const TargetName& target) {
  this->status_queries.Send(target,
                            this->has_synchronous_replicas()
                                ? StatusQueries::Need::kRequired
                                : StatusQueries::Need::kUseful,
                            this->TimeInStep());
}

void Handover::DidReceiveReport(const TargetName& target,
                                const TargetReport& report) {
  this->reports[target] = report;
  // Only the target recorded in the store may be primary. If another target was
  // ordered before, that is certain only after this promotion has had time to
  // take effect.
  const bool is_settled =
      !this->has_competing_order || this->TimeInStep() >= kPromotionDuration;
  // A lost primary may come back under another name and in its old term, and
  // the order to promote one that still leads changes nothing.
  const bool leads = report.is_primary && report.term >= this->old_record.term;
  if (this->step == Step::kVerify && target == this->chosen_target &&
      is_settled && leads)
    return this->DidTakeOver(target, report.term);
  if (this->step == Step::kChoose)
    this->Tick();
}

void Handover::DidTakeOver(const TargetName& target, Term term) {
  this->next_record = this->old_record;
  this->next_record.term = term;
  this->next_record.primary = target;
  this->next_record.state = PrimaryState::kServing;
  this->next_record.is_planned = false;
  this->next_record.promotion_target = TargetName{};
  this->Enter(Step::kRecordPrimary);
  this->Tick();
}

void Handover::TickChoose() {
  const TimePoint now = this->context.scheduler.Now();
  // An earlier coordinator may already have ordered the promotion of this one.
  const TargetName& ordered = this->old_record.promotion_target;
  if (!ordered.value.empty() && !this->excluded_targets.contains(ordered)) {
    this->chosen_target = ordered;
    return this->Enter(Step::kPromote);
  }
  if (now - this->queried_at >= kQueryInterval) {
    this->queried_at = now;
    this->QueryTargets();
  }
  const SuccessorChoice choice = this->Choose();
  if (!choice.target) {
    // All candidates are excluded; they may have recovered by now.
    if (this->TimeInStep() > kVerifyTimeout)
      this->excluded_targets.clear();
    return this->AwaitReports(choice);
  }
  if (choice.received > this->best_received) {
    this->best_received = choice.received;
    this->best_received_at = now;
  }
  const bool has_caught_up =
      this->final_point && choice.received >= *this->final_point;
  const bool may_catch_up =
      this->final_point && !has_caught_up &&
      this->TimeInStep() < kCatchUpTimeout &&
      now - this->best_received_at < kCatchUpProgressTimeout;
  const bool should_wait =
      may_catch_up ||
      (!choice.is_complete && this->TimeInStep() < kStatusTimeout);
  if (should_wait)
    return;
  if (!choice.is_safe)
    return this->AwaitReports(choice);
  const auto excluded = this->excluded_targets.find(*choice.target);
  if (excluded != this->excluded_targets.end() &&
      now - excluded->second < kReorderDelay)
    return;
  this->chosen_target = *choice.target;
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=handover_choice group={} target={} received={}.{} final={}.{} "
      "reports={} missing={} synchronous_replicas={}",
      this->old_record.group.value, this->chosen_target.value,
      choice.received.term.value, choice.received.position.value,
      this->final_point ? this->final_point->term.value : 0,
      this->final_point ? this->final_point->position.value : 0,
      this->reports.size(), choice.missing.size(),
      this->context.synchronous_replicas());
  this->Enter(Step::kRecordChoice);
  this->TickRecordChoice();
}

SuccessorChoice Handover::Choose() const {
  const int synchronous_replicas = this->context.synchronous_replicas();
  std::vector<SuccessorCandidate> candidates;
  std::optional<SuccessorCandidate> old_primary;
  for (SuccessorCandidate& candidate : this->context.targets()) {
    if (const auto report = this->reports.find(candidate.name);
        report != this->reports.end())
      candidate.report = report->second;
    candidate.is_excluded = this->excluded_targets.contains(candidate.name);
    if (candidate.name != this->old_record.primary)
      candidates.push_back(std::move(candidate));
    else if (candidate.report && this->is_complete_log(*candidate.report))
      old_primary = std::move(candidate);
  }
  SuccessorChoice choice =
      ChooseSuccessor(candidates, synchronous_replicas, this->final_point);
  if (choice.is_safe || synchronous_replicas == 0 || !old_primary)
    return choice;
  // Only the old primary may hold some of the commits.
  old_primary->is_replica = false;
  const LogPoint end = old_primary->report->received;
  candidates.push_back(std::move(*old_primary));
  return ChooseSuccessor(candidates, synchronous_replicas, end);
}

bool Handover::is_complete_log(const TargetReport& report) const {
  const PositionSamples& samples = this->context.group.position_samples();
  const auto newest_at = samples.newest_at();
  const auto newest =
      newest_at ? samples.PositionCovering(*newest_at, Term{}) : std::nullopt;
  return !newest || report.received >= *newest;
}

bool Handover::is_old_primary_leading() const {
  const auto report = this->reports.find(this->old_record.primary);
  if (report == this->reports.end() || !report->second.is_primary ||
      report->second.term != this->old_record.term ||
      !this->old_record.promotion_target.value.empty())
    return false;
  const std::vector<SuccessorCandidate> targets = this->context.targets();
  return std::any_of(targets.begin(), targets.end(), [this](const auto& known) {
    return known.name == this->old_record.primary &&
           known.standing > SuccessorCandidate::Standing::kEnding;
  });
}

void Handover::AwaitReports(const SuccessorChoice& choice) {
  if (this->TimeInStep() >= kReopenDelay && this->is_old_primary_leading()) {
    this->next_record = this->old_record;
    this->next_record.state = PrimaryState::kServing;
    return this->Enter(Step::kReopen);
  }
  this->LogAwaitedReports(choice);
  if (this->TimeInStep() >= kYieldDelay && this->context.should_yield())
    this->Enter(Step::kDone);
}

void Handover::LogAwaitedReports(const SuccessorChoice& choice) {
  const TimePoint now = this->context.scheduler.Now();
  if (this->TimeInStep() < kAwaitedReportsLogDelay ||
      now - this->awaited_reports_logged_at < kAwaitedReportsLogInterval)
    return;
  this->awaited_reports_logged_at = now;
  std::string missing;
  for (const TargetName& target : choice.missing)
    missing += (missing.empty() ? "" : ",") + target.value;
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=reports_awaited group={} missing={} for_ms={} furthest={} "
      "received={}.{} synchronous_replicas={}",
      this->old_record.group.value, missing, ToMilliseconds(this->TimeInStep()),
      choice.target ? choice.target->value : "", choice.received.term.value,
      choice.received.position.value, this->context.synchronous_replicas());
}

void Handover::TickRecordChoice() {
  const TimePoint now = this->context.scheduler.Now();
  if (this->is_request_pending &&
      now - this->request_sent_at < kStoreRetryInterval)
    return;
  // If the answer to an earlier attempt was lost, the view shows its result.
  if (const PrimaryRecord* newest = this->NewestRecord();
      newest && newest->version > this->old_record.version)
    this->old_record = *newest;
  if (this->old_record.promotion_target == this->chosen_target)
    return this->Enter(Step::kPromote);
  PrimaryRecord with_choice = this->old_record;
  with_choice.promotion_target = this->chosen_target;
  const std::string key = CoordinationView::PrimaryKey(with_choice.group);
  TableChange change;
  change.expected.push_back({key, this->old_record.version});
  change.puts.push_back(
      {key, CoordinationView::Encode(with_choice, EraOf(with_choice.version))});
  this->is_request_pending = true;
  this->request_sent_at = now;
  this->context.store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this, with_choice](ValueOrError<ChangeOutcome> outcome) {
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        if (this->step != Step::kRecordChoice || !applied ||
            !applied->is_applied ||
            EraOf(applied->version) != EraOf(with_choice.version))
          return;
        this->has_competing_order =
            this->has_competing_order ||
            !this->old_record.promotion_target.value.empty();
        this->old_record = with_choice;
        this->old_record.version = applied->version;
        this->Enter(Step::kPromote);
        this->Tick();
      }));
}

void Handover::TickPromote() {
  const TimePoint now = this->context.scheduler.Now();
  if (this->is_request_pending || now - this->queried_at < kOrderRetryDelay)
    return;
  if (!this->context.coordinator_lease.is_held_for(kOrderTimeout +
                                                   kQueryInterval))
    return;
  this->queried_at = now;
  this->is_request_pending = true;
  PromotionAuthority::Order order;
  order.group = this->old_record.group;
  order.target = this->chosen_target;
  order.holder = this->context.self;
  order.epoch = this->context.coordinator_lease.epoch();
  this->context.event_log.Write(
      EventLog::Kind::kStateChange,
      "event=promotion_order group={} target={} epoch={}",
      this->old_record.group.value, this->chosen_target.value, order.epoch);
  this->context.coordinator_lease.DidSendOrder();
  this->context.authority.Promote(
      order, kOrderTimeout, this->life.Wrap([this](PromotionOutcome outcome) {
        this->is_request_pending = false;
        this->context.event_log.Write(
            EventLog::Kind::kStateChange,
            "event=promotion_answer group={} target={} outcome={}",
            this->old_record.group.value, this->chosen_target.value,
            ToString(outcome));
        if (this->step != Step::kPromote)
          return;
        if (outcome == PromotionOutcome::kAccepted)
          return this->Enter(Step::kVerify);
        if (outcome != PromotionOutcome::kNotRunning)
          return;
        this->excluded_targets[this->chosen_target] =
            this->context.scheduler.Now();
        this->reports.erase(this->chosen_target);
        this->Enter(Step::kChoose);
      }));
}

void Handover::TickVerify() {
  const TimePoint now = this->context.scheduler.Now();
  if (this->TimeInStep() > kVerifyTimeout) {
    this->reports.clear();
    this->excluded_targets[this->chosen_target] = now;
    return this->Enter(Step::kChoose);
  }
  if (now - this->queried_at < kQueryInterval)
    return;
  this->queried_at = now;
  this->QueryStatus(this->chosen_target);
}

void Handover::TickRecordPrimary(const PrimaryRecord& wanted) {
  const TimePoint now = this->context.scheduler.Now();
  const PrimaryRecord* newest = this->NewestRecord();
  // Another coordinator may have ordered a promotion since it was decided to
  // use the old primary again.
  const bool is_superseded = newest && this->step == Step::kReopen &&
                             !newest->promotion_target.value.empty();
  if (newest && newest->version > this->old_record.version &&
      (newest->state == PrimaryState::kServing || is_superseded))
    return this->Enter(Step::kDone);
  if (this->is_request_pending &&
      now - this->request_sent_at < kStoreRetryInterval)
    return;
  const std::string key = CoordinationView::PrimaryKey(wanted.group);
  TableChange change;
  change.expected.push_back(
      {key, newest ? std::max(newest->version, this->old_record.version)
                   : this->old_record.version});
  change.puts.push_back(
      {key, CoordinationView::Encode(wanted, EraOf(wanted.version))});
  this->is_request_pending = true;
  this->request_sent_at = now;
  this->context.store.Change(
      CoordinationView::kTable, std::move(change),
      this->life.Wrap([this](ValueOrError<ChangeOutcome> outcome) {
        const auto* applied = std::get_if<ChangeOutcome>(&outcome);
        if (applied && applied->is_applied && this->step != Step::kDone)
          this->Enter(Step::kDone);
      }));
}

}  // namespace kingcupmill
