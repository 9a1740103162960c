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

// The data of one target: its log, its databases and the replication between
// the members of its group. Replication follows Raft's log rules, while the
// choice of the primary comes from outside through Seal() and Lead().
class ReplicaMember {
 public:
  struct Options {
    TargetName name;
    // The time between receiving a confirmed entry and showing it to reads.
    Duration replica_lag = Duration(0);
    Duration heartbeat_interval = std::chrono::milliseconds(50);
  };

  // Told when the confirmed or visible position or the role has changed.
  using DidChange = std::function<void()>;

  ReplicaMember(Scheduler& scheduler, StandinNetwork& network, Options options);
  ReplicaMember(const ReplicaMember&) = delete;
  ReplicaMember& operator=(const ReplicaMember&) = delete;

  // Names the other members of the group; they outlive this one.
  void SetPeers(std::vector<ReplicaMember*> peers);
  void SetDidChange(DidChange did_change);
  void SetReplicaLag(Duration lag);

  TargetStatus status() const;
  const TargetName& name() const { return this->options.name; }
  bool is_leading(Term term) const;

  // Returns the entries that are confirmed, for tests and the lab's checks.
  SqliteDatabase& visible_database() { return this->visible_data; }

  // Grants `term` to `proposer`; returns whether it is granted.
  bool Seal(Term term, const std::string& proposer);

  // Starts this member as the primary of the sealed term with `marker` as the
  // first entry of the term; returns whether it did.
  bool Lead(Term term,
            const std::string& proposer,
            std::vector<Statement> marker);

  // The database that transactions of the primary run on.
  SqliteDatabase& working_database() { return this->working_data; }

  // Appends the transaction just committed on the working database and starts
  // to replicate it. Only the primary calls this.
  LogPoint Append(std::vector<Statement> statements);

  // The process of this target ends; its log and data stay.
  void Stop();
  // The process of this target starts again as a replica.
  void Start();
  bool is_running() const { return this->is_up; }

 private:
  // 1. The primary sends the entries after `previous` and what is confirmed.
  struct AppendMessage {
    Term term;
    TargetName primary;
    LogPoint previous;
    std::vector<ReplicationLog::EntryPointer> entries;
    Position confirmed;
  };
  // 2. The replica answers how far its log matches the primary's.
  struct AppendAnswer {
    Term term;
    TargetName replica;
    bool is_matching = false;
    Position held;
  };
  struct PeerProgress {
    Position next{1};
    Position held;
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
  void ApplyDue();
  void ApplyThrough(Position position);
  void StepDown();
  void Notify();

  Scheduler& scheduler;
  StandinNetwork& network;
  Options options;
  std::vector<ReplicaMember*> peers;
  DidChange did_change;

  bool is_up = true;
  // Changes with each start, so that timers of an earlier life do nothing.
  uint64_t life = 1;
  TargetRole role = TargetRole::kReplica;
  Term term;
  std::string granted_proposer;
  ReplicationLog log;
  Position confirmed;
  Position visible;
  TimePoint primary_heard_at;
  std::map<TargetName, PeerProgress> progress;
  std::vector<PendingApply> pending_applies;
  SqliteDatabase visible_data;
  SqliteDatabase working_data;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_REPLICA_MEMBER_H_
