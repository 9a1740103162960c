#ifndef LIBCOORDINATION_RECORD_RECOVERY_H_
#define LIBCOORDINATION_RECORD_RECOVERY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCoordination/status_queries.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/target_entry.h"
#include "LibPeer/peer_links.h"
#include "LibStatement/statement_answer.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

class EventLog;
class GroupDispatcher;

// Writes the record of a group's primary when the store holds none of its
// current era: a new group has none, and a restored store may have lost any
// change that was made since its backup, so that the record in it may name a
// primary that was replaced.
// 1. Ask every recent home of the group for the newest record that it knows.
//    One that answers from the current era has given up its handovers.
// 2. Wait until the last coordinator has answered, which knows every change, or
//    all homes have, or until no order of a silent one can take effect any
//    more. A process that does not remember an earlier era answers for its
//    predecessor at that address, whose last order takes effect soon after its
//    end.
// 3. Unless the last coordinator or all homes remember the earlier era, ask the
//    targets which of them leads, since a promotion in a later term supersedes
//    every known record. With synchronous replicas, wait for so many reports
//    that a term with acknowledged commits cannot be missed.
// 4. Write the newest record in the current era. If a target is in a later term
//    whose primary has not reported, write it as closing, so that a handover
//    finds the primary.
class RecordRecovery {
 public:
  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    PeerLinks& peers;
    EventLog& event_log;
    GroupDispatcher& dispatcher;
    GroupName group;
    std::string self_address;
    // Returns all known targets of the group, listed or not.
    std::function<std::vector<TargetEntry>()> targets;
    // Returns how many replicas receive a commit before it is acknowledged.
    std::function<int()> synchronous_replicas;
    // Returns what this proxy knows of the record.
    std::function<RecordKnowledge()> own_knowledge;
    std::function<void(const std::string& address, const RecordKnowledge&)>
        did_receive;
  };

  // `delay` keeps several homes from starting together.
  RecordRecovery(Context context, Duration delay);

  // Advances the recovery as far as possible. The owner calls this at short
  // intervals until the view shows a current record.
  void Tick();

  // The era for which this recovery was started. What it has learned does not
  // hold in a later one.
  uint64_t era() const { return this->recovered_era; }

 private:
  void QueryHomes();
  void DidReceive(const std::string& address, const RecordKnowledge& knowledge);
  void QueryTargets(Duration waited_for);
  // Whether the knowledge of this proxy and of every other recent home is known
  // and satisfies `is_sufficient`.
  template <typename Predicate>
  bool have_all_answered(Predicate is_sufficient) const;
  // Whether the last coordinator of the earlier era is among those that have
  // answered.
  bool has_last_coordinator() const;
  size_t MissingReports() const;
  // Whether the reports of the targets suffice, or no more are waited for.
  bool has_enough_reports(TimePoint now) const;
  void LogAwaitedReports(TimePoint now);
  // Returns the newest of the records known to this proxy and to those that
  // answered and of the restored one.
  std::optional<PrimaryRecord> NewestKnown() const;
  // Returns the record to write; nothing while no target is known to lead.
  std::optional<PrimaryRecord> ChooseRecord() const;
  // Returns the latest term in which a target has reported to be.
  Term NewestReportedTerm() const;
  void Write(const PrimaryRecord& record);

  Context context;
  uint64_t recovered_era = 0;
  TimePoint started_at{};
  TimePoint homes_queried_at{};
  TimePoint targets_queried_at{};
  // When the targets were first queried.
  std::optional<TimePoint> settled_at;
  TimePoint written_at{};
  TimePoint awaited_logged_at{};
  std::map<std::string, RecordKnowledge> knowledge_by_address;
  std::map<TargetName, TargetReport> reports;
  StatusQueries status_queries;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_RECORD_RECOVERY_H_
