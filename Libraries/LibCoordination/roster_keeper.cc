#include "LibCoordination/roster_keeper.h"

#include <algorithm>
#include <utility>

#include "LibDispatch/event_log.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibLink/pooled_connection.h"

namespace kingcupmill {

namespace {

constexpr Duration kQueryInterval = std::chrono::milliseconds(300);
// Allows for a slow answer. The connection is closed after it.
constexpr Duration kCommandTimeout = std::chrono::milliseconds(1000);
// A target without an entry that has not answered for this long, which covers
// several new connections, has ended or is partitioned from the group.
constexpr Duration kAbsenceDelay = std::chrono::milliseconds(2000);
// A write without an answer is sent again after this.
constexpr Duration kWriteRetryInterval = std::chrono::milliseconds(1300);
// Each home waits this much longer than the one ranked before it.
constexpr Duration kRankDelay = std::chrono::milliseconds(300);

bool is_listed(const TargetName& name, const std::vector<TargetEntry>& listed) {
  return std::any_of(listed.begin(), listed.end(),
                     [&](const auto& entry) { return entry.name == name; });
}

}  // namespace

std::map<TargetName, ReplicaRoster::Replica> RosterKeeper::Unlisted(
    const ReplicaRoster* roster,
    const std::vector<TargetEntry>& listed) {
  std::map<TargetName, ReplicaRoster::Replica> unlisted;
  if (!roster)
    return unlisted;
  for (const auto& entry : roster->replicas) {
    const ReplicaRoster::Replica& replica = entry.second;
    const bool is_moved =
        replica.is_leaving &&
        std::any_of(listed.begin(), listed.end(), [&](const auto& target) {
          return target.address == replica.address;
        });
    if (!is_listed(entry.first, listed) && !is_moved)
      unlisted.insert(entry);
  }
  return unlisted;
}

void RosterKeeper::Tick() {
  for (const GroupName& group : this->context.groups()) {
    if (this->context.synchronous_replicas(group) > 0)
      this->TickGroup(group);
    else
      this->states.erase(group);
  }
}

void RosterKeeper::TickGroup(const GroupName& group) {
  GroupDispatcher* dispatcher = this->context.find_group(group);
  if (!dispatcher)
    return;
  const TimePoint now = this->context.scheduler.Now();
  const ReplicaRoster* roster = this->context.view.FindRoster(group);
  const std::vector<TargetEntry> listed = this->context.targets(group);
  this->CheckAbsences(group, *dispatcher, listed, Unlisted(roster, listed));
  const ReplicaRoster wanted = this->Wanted(group, roster, listed);
  GroupState& state = this->states[group];
  const bool is_current =
      roster ? roster->replicas == wanted.replicas : wanted.replicas.empty();
  if (is_current) {
    state.differs_since.reset();
    return;
  }
  if (!state.differs_since)
    state.differs_since = now;
  if (now < *state.differs_since + this->Rank(group) * kRankDelay ||
      now - state.written_at < kWriteRetryInterval)
    return;
  state.written_at = now;
  this->Write(wanted, roster);
}

void RosterKeeper::CheckAbsences(
    const GroupName& group,
    GroupDispatcher& dispatcher,
    const std::vector<TargetEntry>& listed,
    const std::map<TargetName, ReplicaRoster::Replica>& unlisted) {
  const TimePoint now = this->context.scheduler.Now();
  GroupState& state = this->states[group];
  std::erase_if(state.absences, [&](const auto& absence) {
    return !unlisted.contains(absence.first);
  });
  if (unlisted.empty()) {
    state.received.clear();
    return;
  }
  for (const auto& [name, replica] : unlisted) {
    Absence& absence =
        state.absences.try_emplace(name, Absence{now, std::nullopt})
            .first->second;
    const TimePoint absent_at = absence.last_answer_at + kAbsenceDelay;
    if (now >= absent_at && !absence.committed)
      absence.committed =
          dispatcher.position_samples().PositionCovering(absent_at, Term{});
  }
  if (now - state.queried_at < kQueryInterval)
    return;
  state.queried_at = now;
  std::optional<LogPoint> awaited;
  for (const auto& [name, absence] : state.absences)
    awaited = std::max(awaited, absence.committed);
  for (const auto& [name, replica] : unlisted)
    this->QueryStatus(group, dispatcher, name);
  for (const TargetEntry& entry : listed) {
    if (awaited && state.received[entry.name] < *awaited)
      this->QueryStatus(group, dispatcher, entry.name);
  }
}

void RosterKeeper::QueryStatus(const GroupName& group,
                               GroupDispatcher& dispatcher,
                               const TargetName& target) {
  const auto connection = dispatcher.ControlConnection(target);
  if (!connection)
    return;
  TargetCommand command;
  command.kind = TargetCommandKind::kStatus;
  connection->Send(std::move(command), kCommandTimeout,
                   this->life.Wrap([this, group, target](
                                       std::optional<StatementAnswer> answer) {
                     if (!answer)
                       return;
                     GroupState& state = this->states[group];
                     if (answer->report)
                       state.received[target] = answer->report->received;
                     const auto absence = state.absences.find(target);
                     if (absence != state.absences.end())
                       absence->second =
                           Absence{this->context.scheduler.Now(), std::nullopt};
                   }));
}

ReplicaRoster RosterKeeper::Wanted(const GroupName& group,
                                   const ReplicaRoster* roster,
                                   const std::vector<TargetEntry>& listed) {
  ReplicaRoster wanted;
  wanted.group = group;
  for (const TargetEntry& entry : listed)
    wanted.replicas.emplace(
        entry.name,
        ReplicaRoster::Replica{entry.address, entry.place,
                               entry.state == TargetState::kLeaving});
  for (const auto& [name, replica] : Unlisted(roster, listed)) {
    if (!this->is_dispensable(group, name, listed))
      wanted.replicas.emplace(name, replica);
  }
  return wanted;
}

bool RosterKeeper::is_dispensable(const GroupName& group,
                                  const TargetName& target,
                                  const std::vector<TargetEntry>& listed) {
  const GroupState& state = this->states[group];
  const auto absence = state.absences.find(target);
  if (absence == state.absences.end() || !absence->second.committed ||
      !this->context.is_directory_current())
    return false;
  const LogPoint committed = *absence->second.committed;
  return listed.size() > 1 &&
         std::all_of(listed.begin(), listed.end(), [&](const auto& entry) {
           const auto received = state.received.find(entry.name);
           return received != state.received.end() &&
                  received->second >= committed;
         });
}

void RosterKeeper::Write(const ReplicaRoster& wanted,
                         const ReplicaRoster* roster) {
  std::string names;
  for (const auto& [name, replica] : wanted.replicas)
    names += (names.empty() ? "" : ",") + name.value;
  this->context.event_log.Write(EventLog::Kind::kStateChange,
                                "event=roster_written group={} replicas={}",
                                wanted.group.value, names);
  const std::string key = CoordinationView::RosterKey(wanted.group);
  TableChange change;
  change.expected.push_back({key, roster ? roster->version : 0});
  change.puts.push_back(
      {key, CoordinationView::Encode(wanted, this->context.view.era())});
  this->context.store.Change(CoordinationView::kTable, std::move(change),
                             [](const ValueOrError<ChangeOutcome>&) {
                               // The view shows which proxy's write was
                               // applied.
                             });
}

size_t RosterKeeper::Rank(const GroupName& group) const {
  size_t rank = 0;
  for (const auto& [address, member] : this->context.view.members()) {
    if (address < this->context.self_address && !member.is_gone &&
        member.home_of.contains(group))
      ++rank;
  }
  return rank;
}

}  // namespace kingcupmill
