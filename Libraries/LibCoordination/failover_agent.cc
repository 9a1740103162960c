#include "LibCoordination/failover_agent.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/event_journal.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibLink/target_link.h"

namespace kingcupmill {

namespace {

// A primary that has been silent for longer is asked about. Probes go out every
// 200 ms, so two of them are unanswered.
constexpr Duration kSuspectAfter = std::chrono::milliseconds(500);
// A member counts the primary as lost after this.
constexpr Duration kLostAfter = std::chrono::milliseconds(450);
// A member counts it as reached when it answered within this: it is asked every
// 200 ms.
constexpr Duration kHeardLately = std::chrono::milliseconds(300);
constexpr Duration kAskInterval = std::chrono::milliseconds(150);
constexpr Duration kAskTimeout = std::chrono::milliseconds(400);
// A member's word holds for this long.
constexpr Duration kWordLife = std::chrono::milliseconds(600);
// Without a majority of the members, a proxy that reaches replicas and the
// store replaces the primary only after this: most others must be gone, not cut
// off.
constexpr Duration kAloneAfter = std::chrono::seconds(6);
// Two in five members are a large part.
constexpr size_t kLargePart = 5;
constexpr Duration kLargePartAfter = std::chrono::milliseconds(700);
// Each proxy waits this much longer than the one before it in the order.
constexpr Duration kRankDelay = std::chrono::milliseconds(200);
// After a planned change that was put off.
constexpr Duration kPlannedRetry = std::chrono::milliseconds(1200);
// A leaving primary that could not be replaced until now has to go, whatever
// the wait: it works for drain time only.
constexpr Duration kPlannedPatience = std::chrono::milliseconds(2500);
constexpr Duration kCreateRetry = std::chrono::milliseconds(600);
constexpr Duration kCommandTimeout = std::chrono::milliseconds(400);

}  // namespace

FailoverAgent::FailoverAgent(Context context)
    : context(std::move(context)),
      duty(this->context.scheduler,
           this->context.store,
           this->context.view,
           this->context.self,
           this->context.incarnation) {}

void FailoverAgent::Tick() {
  if (!this->is_leaving) {
    for (const GroupName& group : this->context.groups())
      this->TickGroup(group);
  }
  for (auto& [group, handover] : this->handovers)
    handover->Tick();
  this->FinishHandovers();
}

const PrimaryRecord* FailoverAgent::Find(const GroupName& group) const {
  for (const PrimaryRecord& record : this->context.view.primaries()) {
    if (record.group == group)
      return &record;
  }
  return nullptr;
}

void FailoverAgent::TickGroup(const GroupName& group) {
  if (this->handovers.contains(group))
    return;
  GroupDispatcher* dispatcher = this->context.find_group(group);
  if (!dispatcher)
    return;
  const PrimaryRecord* record = this->Find(group);
  if (!record)
    return this->CreateRecord(group);
  const TimePoint now = this->context.scheduler.Now();
  const auto trigger = this->FindTrigger(*record, *dispatcher);
  if (!trigger) {
    this->triggered_at.erase(group);
    return;
  }
  const auto since = this->triggered_at.try_emplace(group, now).first->second;
  if (now < since + this->Rank(group) * kRankDelay ||
      now < this->not_before[group])
    return;
  if (!this->duty.is_held() && this->duty.is_taken_by_other())
    return;
  this->StartHandover(*record, *dispatcher, *trigger);
}

void FailoverAgent::CreateRecord(const GroupName& group) {
  const TimePoint now = this->context.scheduler.Now();
  TimePoint& tried_at = this->created_at[group];
  if (now < tried_at + kCreateRetry + this->Rank(group) * kRankDelay)
    return;
  tried_at = now;
  GroupDispatcher* dispatcher = this->context.find_group(group);
  for (const TargetEntry& entry : this->context.targets(group)) {
    const auto link = dispatcher->ControlLink(entry.name);
    if (!link) {
      tried_at = now - kCreateRetry;
      continue;
    }
    TargetCommand command;
    command.kind = TargetCommandKind::kStatus;
    link->Send(std::move(command), kCommandTimeout,
               this->life.Wrap([this, group, name = entry.name](
                                   std::optional<StatementAnswer> answer) {
                 if (!answer || !answer->report ||
                     !answer->report->is_primary || this->Find(group))
                   return;
                 PrimaryRecord record;
                 record.group = group;
                 record.term = answer->report->term;
                 record.primary = name;
                 const std::string key = CoordinationView::PrimaryKey(group);
                 TableChange change;
                 change.expected.push_back({key, 0});
                 change.puts.push_back({key, CoordinationView::Encode(record)});
                 this->context.journal.Write(
                     EventJournal::Kind::kBelief,
                     "event=first_primary group={} target={} term={}",
                     group.value, name.value, record.term.value);
                 this->context.store.Change(
                     CoordinationView::kTable, std::move(change),
                     [](const ValueOrError<ChangeOutcome>&) {
                       // The view shows who was first.
                     });
               }));
  }
}

std::optional<FailoverAgent::Trigger> FailoverAgent::FindTrigger(
    const PrimaryRecord& record,
    GroupDispatcher& dispatcher) {
  const TimePoint now = this->context.scheduler.Now();
  const GroupName& group = record.group;
  if (record.state == PrimaryState::kClosing)
    return Trigger{record.is_planned ? Handover::Reason::kPlanned
                                     : Handover::Reason::kLost,
                   Handover::Reopen::kForbidden};
  const std::vector<TargetEntry> targets = this->context.targets(group);
  const auto entry = std::find_if(
      targets.begin(), targets.end(),
      [&](const auto& target) { return target.name == record.primary; });
  const Duration silence = dispatcher.PrimarySilence();
  if (entry != targets.end() && entry->state == TargetState::kLeaving) {
    const TimePoint since =
        this->leaving_since.try_emplace(group, now).first->second;
    const bool must_go = now - since > kPlannedPatience;
    return Trigger{
        Handover::Reason::kPlanned,
        must_go ? Handover::Reopen::kForbidden : Handover::Reopen::kAllowed};
  }
  this->leaving_since.erase(group);
  if (dispatcher.has_primary_denied())
    return Trigger{Handover::Reason::kLost, Handover::Reopen::kForbidden};
  if (silence < kSuspectAfter) {
    this->suspicions.erase(group);
    return std::nullopt;
  }
  if (entry == targets.end() && this->context.is_directory_certain())
    return Trigger{Handover::Reason::kLost, Handover::Reopen::kForbidden};
  if (!dispatcher.hears_replicas() ||
      !this->do_members_agree(record, dispatcher))
    return std::nullopt;
  return Trigger{Handover::Reason::kLost, Handover::Reopen::kAllowed};
}

bool FailoverAgent::do_members_agree(const PrimaryRecord& record,
                                     GroupDispatcher& dispatcher) {
  const TimePoint now = this->context.scheduler.Now();
  Suspicion& suspicion = this->suspicions[record.group];
  if (suspicion.since == TimePoint{}) {
    suspicion.since = now;
    this->context.journal.Write(
        EventJournal::Kind::kBelief,
        "event=primary_suspected group={} primary={} silent_ms={}",
        record.group.value, record.primary.value,
        ToMilliseconds(dispatcher.PrimarySilence()));
  }
  if (now - suspicion.asked_at >= kAskInterval) {
    suspicion.asked_at = now;
    this->AskHomes(record.group);
  }
  const std::vector<std::string> others = this->OtherHomes(record.group);
  const size_t members = others.size() + 1;
  size_t lost = 1;
  size_t reached = 0;
  for (const std::string& address : others) {
    const auto answered_at = suspicion.answered_at.find(address);
    if (answered_at == suspicion.answered_at.end() ||
        now - answered_at->second > kWordLife)
      continue;
    const HealthAnswer& word = suspicion.answers.at(address);
    // One that has not asked the primary yet says nothing.
    if (word.primary_heard_age < kHeardLately)
      ++reached;
    else if (word.primary_silence >= kLostAfter)
      ++lost;
  }
  // Who does not reach it borrows a connection of one who does.
  if (reached > 0)
    return false;
  if (2 * lost > members)
    return true;
  // With some members out of reach fewer must do, a little later: should one of
  // the others hear the primary, it is used again.
  const bool is_large_part = lost >= 2 && kLargePart * lost >= 2 * members;
  if (is_large_part && now - suspicion.since > kLargePartAfter)
    return true;
  // A proxy that was cut off itself has been silent for long when it is back,
  // and has not heard the others yet.
  return now - suspicion.since > kAloneAfter &&
         this->context.is_directory_certain();
}

void FailoverAgent::AskHomes(const GroupName& group) {
  for (const std::string& address : this->OtherHomes(group)) {
    this->context.peers.Ask(
        address, HealthQuery{group}, kAskTimeout,
        this->life.Wrap(
            [this, group, address](std::optional<PeerAnswer> answer) {
              const auto* health =
                  answer ? std::get_if<HealthAnswer>(&*answer) : nullptr;
              if (!health)
                return;
              this->context.watch.DidHear(address);
              const auto suspicion = this->suspicions.find(group);
              if (suspicion == this->suspicions.end())
                return;
              suspicion->second.answers[address] = *health;
              suspicion->second.answered_at[address] =
                  this->context.scheduler.Now();
            }));
  }
}

void FailoverAgent::StartHandover(const PrimaryRecord& record,
                                  GroupDispatcher& dispatcher,
                                  Trigger trigger) {
  Handover::Context handover{
      this->context.scheduler,
      this->context.store,
      this->context.view,
      this->duty,
      this->context.peers,
      this->context.authority,
      this->context.journal,
      dispatcher,
      this->context.self,
      this->context.self_address,
      this->context.lease_wait,
      this->context.stop_locally,
      [this, group = record.group] {
        std::set<TargetName> names;
        for (const TargetEntry& target : this->context.targets(group)) {
          if (target.state == TargetState::kReady)
            names.insert(target.name);
        }
        return names;
      }};
  this->handovers.emplace(
      record.group, std::make_unique<Handover>(std::move(handover), record,
                                               trigger.reason, trigger.reopen));
}

void FailoverAgent::FinishHandovers() {
  const TimePoint now = this->context.scheduler.Now();
  bool did_finish = false;
  for (auto entry = this->handovers.begin(); entry != this->handovers.end();) {
    if (!entry->second->is_done()) {
      ++entry;
      continue;
    }
    did_finish = true;
    for (const std::string& address : entry->second->absent())
      this->context.watch.MarkGone(address);
    this->suspicions.erase(entry->first);
    this->triggered_at.erase(entry->first);
    this->not_before[entry->first] = now + kPlannedRetry;
    entry = this->handovers.erase(entry);
  }
  if (did_finish && this->handovers.empty())
    this->duty.Release();
}

std::vector<std::string> FailoverAgent::OtherHomes(
    const GroupName& group) const {
  std::vector<std::string> homes;
  for (const auto& [address, member] : this->context.view.members()) {
    if (address != this->context.self_address && !member.is_gone &&
        member.home_of.contains(group))
      homes.push_back(address);
  }
  return homes;
}

size_t FailoverAgent::Rank(const GroupName& group) const {
  // The last holder goes first, so that the duty does not change hands.
  const DutyRecord& duty = this->context.view.duty();
  if (duty.holder == this->context.self)
    return 0;
  size_t rank = 0;
  for (const std::string& address : this->OtherHomes(group)) {
    if (!this->context.watch.is_heard(address))
      continue;
    const auto& member = this->context.view.members().at(address);
    if (address < this->context.self_address || member.vm == duty.holder)
      ++rank;
  }
  return rank;
}

void FailoverAgent::Leave() {
  // What has been started goes on while the process lasts. An order may be
  // under way, so the duty is released only at the end of it.
  this->is_leaving = true;
}

}  // namespace kingcupmill
