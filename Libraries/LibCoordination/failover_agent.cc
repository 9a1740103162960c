#include "LibCoordination/failover_agent.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/event_log.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibLink/pooled_connection.h"

namespace kingcupmill {

namespace {

// The other homes are queried about a primary that has been silent for longer.
// Probes are sent every 200 ms, so two of them are unanswered by then.
constexpr Duration kSuspectAfter = std::chrono::milliseconds(500);
// A member's answer counts as a vote for a lost primary when the primary has
// been silent towards that member for at least this long.
constexpr Duration kLostAfter = std::chrono::milliseconds(450);
// A member can reach the primary when the primary answered it within this time;
// it is probed every 200 ms.
constexpr Duration kRecentAnswerAge = std::chrono::milliseconds(300);
constexpr Duration kQueryInterval = std::chrono::milliseconds(150);
constexpr Duration kQueryTimeout = std::chrono::milliseconds(400);
// A member's health answer is used for this long.
constexpr Duration kHealthAnswerLifetime = std::chrono::milliseconds(600);
// Within this time after the first answer of a replica, a proxy that was
// isolated also reaches the primary again.
constexpr Duration kReconnectTime = std::chrono::milliseconds(1000);
// Without traffic, replicas are not asked for up to about this time.
constexpr Duration kReplicaPause = std::chrono::seconds(3);
// A suspicion about which the homes were not asked for this long is dropped.
constexpr Duration kSuspicionLifetime = std::chrono::milliseconds(1000);
// Without a majority of the members, a proxy that reaches replicas and the
// store replaces the primary only after this time, when most of the others are
// more likely down than partitioned.
constexpr Duration kNoQuorumDelay = std::chrono::seconds(6);
// A large minority is at least two members and two in five of all.
constexpr size_t kLargeMinorityDivisor = 5;
constexpr Duration kLargeMinorityDelay = std::chrono::milliseconds(700);
// Each proxy waits this much longer than the one ranked before it.
constexpr Duration kRankDelay = std::chrono::milliseconds(200);
// Pause between two handovers of a group. A planned handover that was put off
// is tried again after it.
constexpr Duration kHandoverPause = std::chrono::milliseconds(1200);
// A primary that shuts down stops working at the end of its drain time, so
// after this the handover no longer reopens it, however long members take to
// stop.
constexpr Duration kPlannedReopenLimit = std::chrono::milliseconds(2500);
// A target that has been leaving for longer can hardly serve as primary before
// it takes no more requests.
constexpr Duration kLeavingSuccessorLimit = std::chrono::milliseconds(2500);

}  // namespace

FailoverAgent::FailoverAgent(Context context)
    : context(std::move(context)),
      started_at(this->context.scheduler.Now()),
      lease(this->context.scheduler,
            this->context.store,
            this->context.view,
            this->context.self,
            this->context.incarnation,
            [this] { return this->are_earlier_orders_over(); }) {}

void FailoverAgent::Tick() {
  if (!this->is_draining) {
    for (const GroupName& group : this->context.groups())
      this->TickGroup(group);
  }
  for (auto& [group, handover] : this->handovers)
    handover->Tick();
  this->FinishHandovers();
}

const PrimaryRecord* FailoverAgent::FindRecord(const GroupName& group) const {
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
  const PrimaryRecord* record = this->FindRecord(group);
  if (!record)
    return this->RecoverRecord(group, *dispatcher);
  this->recoveries.erase(group);
  const TimePoint now = this->context.scheduler.Now();
  if (dispatcher->has_recent_replica_answer()) {
    ReplicaAnswers& answers = this->replica_answers[group];
    if (now - answers.last_at > kReplicaPause)
      answers.since = now;
    answers.last_at = now;
  }
  const auto trigger = this->FindTrigger(*record, *dispatcher);
  if (!trigger) {
    this->triggered.erase(group);
    return;
  }
  // The order of the proxies applies anew when another one has tried: else all
  // would start the next attempt together.
  Triggered& first = this->triggered[group];
  if (first.version != record->version)
    first = Triggered{now, record->version};
  if (now < first.at + this->Rank(group) * kRankDelay ||
      now < this->earliest_handover_at[group])
    return;
  if (!this->lease.is_held() && this->lease.is_held_by_other())
    return;
  this->StartHandover(*record, *dispatcher, *trigger);
}

void FailoverAgent::RecoverRecord(const GroupName& group,
                                  GroupDispatcher& dispatcher) {
  auto& recovery = this->recoveries[group];
  if (!recovery || recovery->era() != this->context.view.era())
    recovery = std::make_unique<RecordRecovery>(
        RecordRecovery::Context{
            this->context.scheduler, this->context.store, this->context.view,
            this->context.peers, this->context.event_log, dispatcher, group,
            this->context.self_address,
            [this, group] {
              std::vector<TargetEntry> targets = this->context.targets(group);
              for (TargetEntry& target : this->context.unlisted_targets(group))
                targets.push_back(std::move(target));
              return targets;
            },
            [this, group] { return this->context.synchronous_replicas(group); },
            [this, group] { return this->KnowledgeOf(group); },
            [this](const std::string& address,
                   const RecordKnowledge& knowledge) {
              this->DidReceiveKnowledge(address, knowledge);
            }},
        this->Rank(group) * kRankDelay);
  recovery->Tick();
}

void FailoverAgent::DidReceiveKnowledge(const std::string& address,
                                        const RecordKnowledge& knowledge) {
  if (knowledge.has_earlier_era && !knowledge.may_have_order)
    this->era_without_orders[address] = knowledge.era;
}

bool FailoverAgent::are_earlier_orders_over() const {
  const CoordinationView& view = this->context.view;
  const std::set<std::string> homes = view.RecentHomes();
  return view.has_earlier_era() && !this->lease.may_have_order() &&
         std::all_of(homes.begin(), homes.end(),
                     [&](const std::string& address) {
                       const auto era = this->era_without_orders.find(address);
                       return address == this->context.self_address ||
                              (era != this->era_without_orders.end() &&
                               era->second == view.era());
                     });
}

RecordKnowledge FailoverAgent::KnowledgeOf(const GroupName& group) const {
  const CoordinationView& view = this->context.view;
  RecordKnowledge knowledge;
  knowledge.era = view.era();
  knowledge.process_age = this->context.scheduler.Now() - this->started_at;
  knowledge.has_earlier_era = view.has_earlier_era();
  knowledge.may_have_order = this->lease.may_have_order();
  knowledge.was_coordinator = this->lease.was_last_holder();
  if (const PrimaryRecord* earlier = view.FindEarlierPrimary(group))
    knowledge.earlier = *earlier;
  const auto interrupted = this->interrupted_records.find(group);
  if (interrupted != this->interrupted_records.end() &&
      (!knowledge.earlier ||
       interrupted->second.version > knowledge.earlier->version))
    knowledge.earlier = interrupted->second;
  return knowledge;
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
  const bool has_ready_replica =
      std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
        return target.name != record.primary &&
               target.state == TargetState::kReady &&
               dispatcher.is_connected(target.name);
      });
  // A handover to another target that is leaving would only add a gap.
  if (entry != targets.end() && entry->state == TargetState::kLeaving &&
      has_ready_replica) {
    const TimePoint since =
        this->leaving_since.try_emplace(group, now).first->second;
    const bool must_replace = now - since > kPlannedReopenLimit;
    return Trigger{Handover::Reason::kPlanned,
                   must_replace ? Handover::Reopen::kForbidden
                                : Handover::Reopen::kAllowed};
  }
  this->leaving_since.erase(group);
  if (dispatcher.has_primary_reported_read_only())
    return Trigger{Handover::Reason::kLost, Handover::Reopen::kForbidden};
  // No request is sent to a target without an entry, so that it may never seem
  // silent.
  if (entry == targets.end() && this->context.is_directory_current())
    return Trigger{Handover::Reason::kLost, Handover::Reopen::kAllowed};
  if (silence < kSuspectAfter) {
    this->suspicions.erase(group);
    return std::nullopt;
  }
  // A proxy that was isolated itself reaches the primary again a little after
  // the replicas, once its broken connections have been replaced.
  if (!dispatcher.has_recent_replica_answer() ||
      now - this->replica_answers[group].since < kReconnectTime ||
      !this->is_loss_confirmed(record, dispatcher))
    return std::nullopt;
  return Trigger{Handover::Reason::kLost, Handover::Reopen::kAllowed};
}

bool FailoverAgent::is_loss_confirmed(const PrimaryRecord& record,
                                      GroupDispatcher& dispatcher) {
  const TimePoint now = this->context.scheduler.Now();
  Suspicion& suspicion = this->suspicions[record.group];
  // While this proxy was not a home it asked nobody, so that the missing
  // answers say nothing about the others.
  if (now - suspicion.queried_at > kSuspicionLifetime)
    suspicion = Suspicion{};
  if (suspicion.since == TimePoint{}) {
    suspicion.since = now;
    this->context.event_log.Write(
        EventLog::Kind::kStateChange,
        "event=primary_suspected group={} primary={} silent_ms={}",
        record.group.value, record.primary.value,
        ToMilliseconds(dispatcher.PrimarySilence()));
  }
  if (now - suspicion.queried_at >= kQueryInterval) {
    suspicion.queried_at = now;
    this->QueryHomes(record.group);
  }
  const std::vector<std::string> others = this->OtherHomes(record.group);
  const size_t members = others.size() + 1;
  size_t lost = 1;
  size_t reached = 0;
  for (const std::string& address : others) {
    const auto answered_at = suspicion.answered_at.find(address);
    const TimePoint last_answer = answered_at == suspicion.answered_at.end()
                                      ? suspicion.since
                                      : answered_at->second;
    if (now - last_answer > kHealthAnswerLifetime) {
      this->context.watch.Bar(address);
      continue;
    }
    if (answered_at == suspicion.answered_at.end())
      continue;
    const HealthAnswer& health = suspicion.answers.at(address);
    // A member that has not probed the primary yet counts for neither.
    if (health.primary_answer_age < kRecentAnswerAge)
      ++reached;
    else if (health.primary_silence >= kLostAfter)
      ++lost;
  }
  // Proxies that can't reach the primary borrow a connection from one that can.
  if (reached > 0)
    return false;
  if (2 * lost > members)
    return true;
  // When some members are unreachable, a large minority is enough a little
  // later: if one of the others reaches the primary, the handover reopens it.
  const bool is_large_minority =
      lost >= 2 && kLargeMinorityDivisor * lost >= 2 * members;
  if (is_large_minority && now - suspicion.since > kLargeMinorityDelay)
    return true;
  // The directory check excludes a proxy that was itself partitioned: when it
  // is back, its suspicion is old and the others have not answered it yet.
  return now - suspicion.since > kNoQuorumDelay &&
         this->context.is_directory_current();
}

void FailoverAgent::QueryHomes(const GroupName& group) {
  for (const std::string& address : this->OtherHomes(group)) {
    this->context.peers.Ask(
        address, HealthQuery{group}, kQueryTimeout,
        this->life.Wrap(
            [this, group, address](std::optional<PeerAnswer> answer) {
              const auto* health =
                  answer ? std::get_if<HealthAnswer>(&*answer) : nullptr;
              if (!health)
                return;
              this->context.watch.DidReceiveAnswer(address);
              if (health->knowledge)
                this->DidReceiveKnowledge(address, *health->knowledge);
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
      this->lease,
      this->context.peers,
      this->context.authority,
      this->context.event_log,
      dispatcher,
      this->context.self,
      this->context.self_address,
      this->context.lease_terms,
      this->context.release_own_lease,
      [this, group = record.group] { return this->SuccessorCandidates(group); },
      [this, group = record.group] {
        return this->context.synchronous_replicas(group);
      },
      [this] { return this->is_draining || this->has_foreign_groups(); },
      this->promised_until_time,
      [this](const std::string& address) { this->context.watch.Bar(address); }};
  this->handovers.emplace(
      record.group, std::make_unique<Handover>(std::move(handover), record,
                                               trigger.reason, trigger.reopen));
}

std::vector<SuccessorCandidate> FailoverAgent::SuccessorCandidates(
    const GroupName& group) const {
  using Standing = SuccessorCandidate::Standing;
  const TimePoint now = this->context.scheduler.Now();
  const GroupDispatcher* dispatcher = this->context.find_group(group);
  const std::vector<TargetEntry> listed = this->context.targets(group);
  std::vector<SuccessorCandidate> candidates;
  for (const TargetEntry& target : listed) {
    // Its log was moved to the later one when it ended.
    const bool is_moved =
        target.state == TargetState::kLeaving &&
        std::any_of(listed.begin(), listed.end(), [&](const auto& other) {
          return other.name != target.name && other.address == target.address &&
                 other.started_at_ms > target.started_at_ms;
        });
    if (is_moved)
      continue;
    SuccessorCandidate candidate;
    candidate.name = target.name;
    if (target.state == TargetState::kLeaving) {
      const auto since =
          dispatcher ? dispatcher->LeavingSince(target.name) : std::nullopt;
      candidate.standing = since && now - *since > kLeavingSuccessorLimit
                               ? Standing::kEnding
                               : Standing::kLeaving;
    }
    candidates.push_back(std::move(candidate));
  }
  for (const TargetEntry& target : this->context.unlisted_targets(group)) {
    SuccessorCandidate candidate;
    candidate.name = target.name;
    candidate.standing = Standing::kEnding;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool FailoverAgent::has_foreign_groups() const {
  const std::vector<GroupName> own = this->context.groups();
  const std::set<GroupName> own_groups(own.begin(), own.end());
  const auto& members = this->context.view.members();
  return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
    const std::set<GroupName>& home_of = entry.second.home_of;
    return !std::includes(own_groups.begin(), own_groups.end(), home_of.begin(),
                          home_of.end());
  });
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
    const PrimaryRecord& record = entry->second->record();
    if (EraOf(record.version) != this->context.view.era())
      this->interrupted_records.insert_or_assign(entry->first, record);
    for (const std::string& address : entry->second->unresponsive_members())
      this->context.watch.Bar(address);
    this->suspicions.erase(entry->first);
    this->triggered.erase(entry->first);
    this->earliest_handover_at[entry->first] = now + kHandoverPause;
    entry = this->handovers.erase(entry);
  }
  if (did_finish && this->handovers.empty())
    this->lease.Release();
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
  // The last holder of the lease goes first, which avoids a change of holder.
  const CoordinatorRecord& coordinator = this->context.view.coordinator();
  if (coordinator.holder == this->context.self)
    return 0;
  size_t rank = 0;
  for (const std::string& address : this->OtherHomes(group)) {
    if (!this->context.watch.has_recent_answer(address))
      continue;
    const auto& member = this->context.view.members().at(address);
    if (address < this->context.self_address || member.vm == coordinator.holder)
      ++rank;
  }
  return rank;
}

void FailoverAgent::Drain() {
  // Running handovers continue while the process lasts. One of them may have an
  // order in flight, so the lease is released only when they have finished.
  this->is_draining = true;
}

}  // namespace kingcupmill
