#ifndef LIBCOORDINATION_ROSTER_KEEPER_H_
#define LIBCOORDINATION_ROSTER_KEEPER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCoordination/replica_roster.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/target_entry.h"
#include "LibStatement/statement_answer.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

class EventLog;
class GroupDispatcher;

// Maintains the rosters of the groups with synchronous replicas that this proxy
// is a home of.
//
// A target is added when it is listed. One whose entry has expired is removed
// 1. when it was leaving and another target is listed at its address, to which
//    its log has been moved, or
// 2. when it no longer answers, so that it cannot count toward further
//    acknowledgements, and every listed target has received all that the
//    primary had committed by then.
class RosterKeeper {
 public:
  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    EventLog& event_log;
    std::string self_address;
    // Returns the groups that this proxy is a registered home of.
    std::function<std::vector<GroupName>()> groups;
    std::function<GroupDispatcher*(const GroupName&)> find_group;
    // Returns the listed targets of a group.
    std::function<std::vector<TargetEntry>(const GroupName&)> targets;
    std::function<int(const GroupName&)> synchronous_replicas;
    // Returns whether the list of targets is known to be complete.
    std::function<bool()> is_directory_current;
  };

  explicit RosterKeeper(Context context) : context(std::move(context)) {}

  // Checks all groups. The owner calls this at short intervals.
  void Tick();

  // Returns the replicas in the roster of a group that are not listed.
  static std::map<TargetName, ReplicaRoster::Replica> Unlisted(
      const ReplicaRoster* roster,
      const std::vector<TargetEntry>& listed);

 private:
  // What is known of a target whose entry has expired.
  struct Absence {
    // When it last answered, or was first seen to be missing.
    TimePoint last_answer_at{};
    // What the primary had committed when the target had not answered for long.
    std::optional<LogPoint> committed;
  };
  struct GroupState {
    std::map<TargetName, Absence> absences;
    // The ends of the logs that the listed targets have reported.
    std::map<TargetName, LogPoint> received;
    TimePoint queried_at{};
    // Since when the roster in the store is not the wanted one.
    std::optional<TimePoint> differs_since;
    TimePoint written_at{};
  };

  void TickGroup(const GroupName& group);
  void CheckAbsences(
      const GroupName& group,
      GroupDispatcher& dispatcher,
      const std::vector<TargetEntry>& listed,
      const std::map<TargetName, ReplicaRoster::Replica>& unlisted);
  void QueryStatus(const GroupName& group,
                   GroupDispatcher& dispatcher,
                   const TargetName& target);
  ReplicaRoster Wanted(const GroupName& group,
                       const ReplicaRoster* roster,
                       const std::vector<TargetEntry>& listed);
  // Whether every listed target holds all that an absent one may have counted
  // for.
  bool is_dispensable(const GroupName& group,
                      const TargetName& target,
                      const std::vector<TargetEntry>& listed);
  void Write(const ReplicaRoster& wanted, const ReplicaRoster* roster);
  // Returns how many homes of the group write the roster before this one.
  size_t Rank(const GroupName& group) const;

  Context context;
  std::map<GroupName, GroupState> states;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_ROSTER_KEEPER_H_
