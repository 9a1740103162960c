#ifndef LIBSTANDINS_REPLICA_MEMBER_H_
#define LIBSTANDINS_REPLICA_MEMBER_H_

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibStandins/replication_log.h"
#include "LibStandins/sqlite_database.h"
#include "LibTarget/target_status.h"

namespace kingcupmill {

class StandinNetwork;

// One target's replication log and databases, and the replication between the
// members of its group. Replication follows Raft's log rules, but there are no
// elections: a proxy appoints the primary through Seal() and Lead().
class ReplicaMember {
 public:
  struct Options {
    TargetName name;
    // The delay between learning that an entry is confirmed and applying it to
    // the database that reads run on.
    Duration replica_lag = Duration(0);
    Duration heartbeat_interval = std::chrono::milliseconds(50);
  };

  // Called when the confirmed or visible position or the role has changed.
  using DidChange = std::function<void()>;

  ReplicaMember(Scheduler& scheduler, StandinNetwork& network, Options options);
  ReplicaMember(const ReplicaMember&) = delete;
  ReplicaMember& operator=(const ReplicaMember&) = delete;

  // Sets the other members of the group. They must outlive this one.
  void SetPeers(std::vector<ReplicaMember*> peers);
  void SetDidChange(DidChange did_change);
  void SetReplicaLag(Duration lag);

  TargetStatus status() const;
  const TargetName& name() const { return this->options.name; }
  bool is_leading(Term term) const;

  // Returns the database that reads run on. It holds confirmed entries only.
  SqliteDatabase& visible_database() { return this->visible_data; }

  // Grants `term` to `proposer` and steps down if the term is new. Returns
  // false if a later term is known, or if this one is known but was not granted
  // to `proposer`.
  bool Seal(Term term, const std::string& proposer);

  // Makes this member the primary of `term` and appends `marker` as the first
  // entry of the term. Returns false unless Seal() granted the term to
  // `proposer`.
  bool Lead(Term term,
            const std::string& proposer,
            std::vector<Statement> marker);

  // Returns the database that the primary's transactions run on. It includes
  // entries that are not confirmed yet.
  SqliteDatabase& working_database() { return this->working_data; }

  // Appends the transaction that was just committed on the working database and
  // starts to replicate it. This member must be the primary.
  LogPoint Append(std::vector<Statement> statements);

  // Simulates the end of the target's process. The log and the data persist.
  void Stop();
  // Simulates a restart of the target's process, as a replica.
  void Start();
  bool is_running() const { return this->is_up; }

 private:
  // Sent by the primary: the entries after `previous` and the confirmed
  // position.
  struct AppendMessage {
    Term term;
    TargetName primary;
    LogPoint previous;
    std::vector<ReplicationLog::EntryPointer> entries;
    Position confirmed;
  };
  // Sent by the replica in answer to an AppendMessage.
  struct AppendAnswer {
    Term term;
    TargetName replica;
    bool is_matching = false;
    // The last position known to match the primary's log or, unless
    // `is_matching`, the position after which the primary must send again.
    Position matched;
  };
  struct PeerProgress {
    // The position of the next entry to send.
    Position next{1};
    // The last position at which the peer's log is known to match.
    Position matched;
  };
  struct PendingApply {
    Position position;
    TimePoint due;
  };

  void ReplicateTo(ReplicaMember& peer);
  void ReplicateToAll();
  void ScheduleHeartbeat(Term term);
  void DidReceiveAppend(const AppendMessage& message);
  void DidReceiveAppendAnswer(const AppendAnswer& answer);
  bool MatchAndAppend(const AppendMessage& message);
  void AdvanceConfirmed();
  void SetConfirmed(Position position);
  void ApplyDueEntries();
  void ApplyThrough(Position position);
  void StepDown();
  void Notify();

  Scheduler& scheduler;
  StandinNetwork& network;
  Options options;
  std::vector<ReplicaMember*> peers;
  DidChange did_change;

  bool is_up = true;
  // Incremented when the process ends, so that timers of an earlier incarnation
  // do nothing.
  uint64_t incarnation = 1;
  TargetRole role = TargetRole::kReplica;
  Term term;
  std::string granted_proposer;
  ReplicationLog log;
  Position confirmed;
  Position visible;
  TimePoint last_primary_message_at;
  std::map<TargetName, PeerProgress> progress;
  std::vector<PendingApply> pending_applies;
  SqliteDatabase visible_data;
  SqliteDatabase working_data;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_REPLICA_MEMBER_H_
