#include "LibStandins/replica_member.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "LibCore/verify.h"
#include "LibStandins/standin_network.h"

namespace kingcupmill {

namespace {

constexpr size_t kMaximumEntriesPerMessage = 256;
// The time since the last message of a primary that a member reports before it
// has received one.
constexpr Duration kInitialPrimarySilence = std::chrono::hours(1);

}  // namespace

ReplicaMember::ReplicaMember(Scheduler& scheduler,
                             StandinNetwork& network,
                             Options options)
    : scheduler(scheduler),
      network(network),
      options(std::move(options)),
      last_primary_message_at(scheduler.Now() - kInitialPrimarySilence) {}

void ReplicaMember::SetPeers(std::vector<ReplicaMember*> peers) {
  this->peers = std::move(peers);
}

void ReplicaMember::SetDidChange(DidChange did_change) {
  this->did_change = std::move(did_change);
}

void ReplicaMember::SetReplicaLag(Duration lag) {
  this->options.replica_lag = lag;
}

TargetStatus ReplicaMember::status() const {
  TargetStatus status;
  status.role = this->role;
  status.term = this->term;
  status.last_entry = this->log.last();
  status.confirmed =
      LogPoint{this->log.TermAt(this->confirmed), this->confirmed};
  status.visible = this->visible;
  status.time_since_primary_contact =
      this->role == TargetRole::kPrimary
          ? Duration(0)
          : this->scheduler.Now() - this->last_primary_message_at;
  return status;
}

bool ReplicaMember::is_leading(Term term) const {
  return this->role == TargetRole::kPrimary && this->term == term;
}

bool ReplicaMember::Seal(Term term, const std::string& proposer) {
  if (term < this->term)
    return false;
  if (term == this->term)
    return this->granted_proposer == proposer;
  this->term = term;
  this->granted_proposer = proposer;
  this->StepDown();
  return true;
}

bool ReplicaMember::Lead(Term term,
                         const std::string& proposer,
                         std::vector<Statement> marker) {
  if (term != this->term || this->granted_proposer != proposer)
    return false;
  if (this->role == TargetRole::kPrimary)
    return true;
  this->role = TargetRole::kPrimary;
  this->progress.clear();
  for (ReplicaMember* peer : this->peers) {
    this->progress[peer->name()].next =
        Position{this->log.last().position.value + 1};
  }
  // The working database holds the confirmed entries and every entry after
  // them.
  this->ApplyThrough(this->confirmed);
  this->working_data.CopyFrom(this->visible_data);
  for (uint64_t next = this->visible.value + 1;
       next <= this->log.last().position.value; ++next) {
    for (const Statement& statement : this->log.At(Position{next})->statements)
      this->working_data.Execute(statement, Access::kWrite);
  }
  this->working_data.Begin();
  for (const Statement& statement : marker)
    this->working_data.Execute(statement, Access::kWrite);
  this->working_data.Commit();
  this->Append(std::move(marker));
  this->ScheduleHeartbeat(term);
  this->Notify();
  return true;
}

LogPoint ReplicaMember::Append(std::vector<Statement> statements) {
  KINGCUPMILL_VERIFY(this->role == TargetRole::kPrimary);
  this->log.Append(std::make_shared<const LogEntry>(
      LogEntry{this->term, std::move(statements)}));
  this->ReplicateToAll();
  this->AdvanceConfirmed();
  return this->log.last();
}

void ReplicaMember::Stop() {
  this->is_up = false;
  ++this->incarnation;
  this->StepDown();
}

void ReplicaMember::Start() {
  this->is_up = true;
  this->last_primary_message_at =
      this->scheduler.Now() - kInitialPrimarySilence;
  this->SetConfirmed(this->confirmed);
}

void ReplicaMember::StepDown() {
  this->role = TargetRole::kReplica;
  this->progress.clear();
  this->Notify();
}

void ReplicaMember::ReplicateToAll() {
  for (ReplicaMember* peer : this->peers)
    this->ReplicateTo(*peer);
}

void ReplicaMember::ReplicateTo(ReplicaMember& peer) {
  PeerProgress& peer_progress = this->progress[peer.name()];
  AppendMessage message;
  message.term = this->term;
  message.primary = this->name();
  message.confirmed = this->confirmed;
  const Position previous{peer_progress.next.value - 1};
  message.previous = LogPoint{this->log.TermAt(previous), previous};
  const uint64_t last = this->log.last().position.value;
  while (peer_progress.next.value <= last &&
         message.entries.size() < kMaximumEntriesPerMessage) {
    message.entries.push_back(this->log.At(peer_progress.next));
    // Entries in flight are not sent again. If a message is lost, the answer to
    // the next heartbeat reports a gap.
    ++peer_progress.next.value;
  }
  this->network.Deliver(this->name().value, peer.name().value,
                        [&peer, message = std::move(message)] {
                          peer.DidReceiveAppend(message);
                        });
}

void ReplicaMember::ScheduleHeartbeat(Term term) {
  this->scheduler.PostAfter(
      this->options.heartbeat_interval,
      [this, term, incarnation = this->incarnation] {
        if (incarnation != this->incarnation || !this->is_leading(term))
          return;
        if (!this->network.is_paused(this->name().value))
          this->ReplicateToAll();
        this->ScheduleHeartbeat(term);
      });
}

void ReplicaMember::DidReceiveAppend(const AppendMessage& message) {
  if (!this->is_up)
    return;
  AppendAnswer answer;
  answer.replica = this->name();
  if (message.term >= this->term) {
    if (message.term > this->term) {
      this->term = message.term;
      this->granted_proposer.clear();
      this->StepDown();
    }
    this->last_primary_message_at = this->scheduler.Now();
    answer.is_matching = this->MatchAndAppend(message);
    const Position matched{message.previous.position.value +
                           message.entries.size()};
    // Confirmed entries are the same on every member, so after a conflict the
    // primary sends again from the confirmed position.
    const bool is_conflicting = this->log.has(message.previous.position);
    const Position resend_after =
        is_conflicting ? this->confirmed : this->log.last().position;
    answer.matched = answer.is_matching ? matched : resend_after;
  }
  answer.term = this->term;
  for (ReplicaMember* peer : this->peers) {
    if (peer->name() != message.primary)
      continue;
    this->network.Deliver(
        this->name().value, peer->name().value,
        [peer, answer] { peer->DidReceiveAppendAnswer(answer); });
  }
}

bool ReplicaMember::MatchAndAppend(const AppendMessage& message) {
  if (!this->log.has(message.previous.position))
    return false;
  if (this->log.TermAt(message.previous.position) != message.previous.term)
    return false;
  Position position = message.previous.position;
  for (const auto& entry : message.entries) {
    ++position.value;
    if (this->log.has(position)) {
      if (this->log.TermAt(position) == entry->term)
        continue;
      // Confirmed entries are stored by a majority and must not be truncated.
      KINGCUPMILL_VERIFY(position > this->confirmed);
      this->log.TruncateAfter(Position{position.value - 1});
    }
    this->log.Append(entry);
  }
  this->SetConfirmed(std::min(message.confirmed, position));
  return true;
}

void ReplicaMember::DidReceiveAppendAnswer(const AppendAnswer& answer) {
  if (!this->is_up)
    return;
  if (answer.term > this->term) {
    this->term = answer.term;
    this->granted_proposer.clear();
    this->StepDown();
    return;
  }
  if (this->role != TargetRole::kPrimary || answer.term != this->term)
    return;
  PeerProgress& peer_progress = this->progress[answer.replica];
  if (!answer.is_matching) {
    // An answer that arrives out of order must not move `next` back to a
    // position that is known to match.
    peer_progress.next.value =
        std::max(answer.matched.value, peer_progress.matched.value) + 1;
    for (ReplicaMember* peer : this->peers) {
      if (peer->name() == answer.replica)
        this->ReplicateTo(*peer);
    }
    return;
  }
  peer_progress.matched = std::max(peer_progress.matched, answer.matched);
  peer_progress.next =
      std::max(peer_progress.next, Position{peer_progress.matched.value + 1});
  this->AdvanceConfirmed();
}

void ReplicaMember::AdvanceConfirmed() {
  std::vector<Position> matched = {this->log.last().position};
  for (const auto& [peer, peer_progress] : this->progress)
    matched.push_back(peer_progress.matched);
  std::sort(matched.begin(), matched.end(), std::greater<>());
  const size_t majority = (this->peers.size() + 1) / 2 + 1;
  const Position candidate = matched[majority - 1];
  // An entry of an earlier term is confirmed only together with an entry of
  // this term, as in Raft.
  if (candidate <= this->confirmed ||
      this->log.TermAt(candidate) != this->term) {
    return;
  }
  this->SetConfirmed(candidate);
  this->ReplicateToAll();
}

void ReplicaMember::SetConfirmed(Position position) {
  this->confirmed = std::max(this->confirmed, position);
  if (this->role == TargetRole::kPrimary ||
      this->options.replica_lag == Duration(0)) {
    this->ApplyThrough(this->confirmed);
    this->Notify();
    return;
  }
  const Position scheduled = this->pending_applies.empty()
                                 ? this->visible
                                 : this->pending_applies.back().position;
  if (this->confirmed <= scheduled)
    return;
  const TimePoint due = this->scheduler.Now() + this->options.replica_lag;
  this->pending_applies.push_back({this->confirmed, due});
  this->scheduler.PostAfter(this->options.replica_lag,
                            [this] { this->ApplyDueEntries(); });
}

void ReplicaMember::ApplyDueEntries() {
  const TimePoint now = this->scheduler.Now();
  if (!this->is_up)
    return this->pending_applies.clear();
  if (this->network.is_paused(this->name().value)) {
    this->scheduler.PostAfter(this->options.heartbeat_interval,
                              [this] { this->ApplyDueEntries(); });
    return;
  }
  size_t done = 0;
  while (done < this->pending_applies.size() &&
         this->pending_applies[done].due <= now) {
    this->ApplyThrough(this->pending_applies[done].position);
    ++done;
  }
  if (done == 0)
    return;
  this->pending_applies.erase(
      this->pending_applies.begin(),
      this->pending_applies.begin() + static_cast<ptrdiff_t>(done));
  this->Notify();
}

void ReplicaMember::ApplyThrough(Position position) {
  KINGCUPMILL_VERIFY(position <= this->confirmed);
  while (this->visible < position) {
    ++this->visible.value;
    this->visible_data.Begin();
    for (const Statement& statement : this->log.At(this->visible)->statements)
      this->visible_data.Execute(statement, Access::kWrite);
    this->visible_data.Commit();
  }
}

void ReplicaMember::Notify() {
  if (this->did_change)
    this->did_change();
}

}  // namespace kingcupmill
