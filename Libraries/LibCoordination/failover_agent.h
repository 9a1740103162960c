#ifndef LIBCOORDINATION_FAILOVER_AGENT_H_
#define LIBCOORDINATION_FAILOVER_AGENT_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCoordination/coordinator_lease.h"
#include "LibCoordination/handover.h"
#include "LibCoordination/member_watch.h"
#include "LibCoordination/record_recovery.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/target_entry.h"
#include "LibPeer/peer_links.h"
#include "LibPrimary/lease_terms.h"

namespace kingcupmill {

// Decides when the primary of a group is replaced, and which proxy does it.
//
// A primary that is being shut down or is no longer listed in the store is
// replaced at once. One that does not answer is replaced once most homes of the
// group also get no answer: a proxy that is partitioned from the primary must
// not replace one that still serves all other proxies.
class FailoverAgent {
 public:
  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    PeerLinks& peers;
    MemberWatch& watch;
    PromotionAuthority& authority;
    EventLog& event_log;
    VmName self;
    std::string self_address;
    std::string incarnation;
    LeaseTerms lease_terms;
    // Returns the groups that this proxy is a registered home of.
    std::function<std::vector<GroupName>()> groups;
    std::function<GroupDispatcher*(const GroupName&)> find_group;
    // Returns all known targets of a group.
    std::function<std::vector<TargetEntry>(const GroupName&)> targets;
    // Returns the targets of a group whose entries have expired, but which may
    // hold commits that no listed target holds.
    std::function<std::vector<TargetEntry>(const GroupName&)> unlisted_targets;
    // Returns how many replicas of a group receive a commit before it is
    // acknowledged.
    std::function<int(const GroupName&)> synchronous_replicas;
    // Returns whether the list of targets has been read reliably for long
    // enough that a target missing from it has really been removed.
    std::function<bool()> is_directory_current;
    // Passed on to Handover::Context.
    std::function<bool(const PrimaryRecord&)> release_own_lease;
  };

  explicit FailoverAgent(Context context);

  // Checks all groups and advances the running handovers. The owner calls this
  // at short intervals.
  void Tick();

  // Starts no further handovers. The running ones continue while the process
  // lasts.
  void Drain();

  // Whether this proxy has started a handover of the group that is not over.
  bool has_handover(const GroupName& group) const {
    return this->handovers.contains(group);
  }

  // Records that this proxy has promised another one to start no handover until
  // then. One that it starts all the same waits for that.
  void DidPromise(TimePoint until) {
    this->promised_until_time = std::max(this->promised_until_time, until);
  }
  TimePoint promised_until() const { return this->promised_until_time; }

  bool is_active() const { return !this->handovers.empty(); }
  // Returns what this proxy knows of the record of a group's primary.
  RecordKnowledge KnowledgeOf(const GroupName& group) const;
  const CoordinatorLease& coordinator_lease() const { return this->lease; }

 private:
  struct Suspicion {
    TimePoint since{};
    TimePoint queried_at{};
    // The latest health answer of each member, and when it came.
    std::map<std::string, HealthAnswer> answers;
    std::map<std::string, TimePoint> answered_at;
  };
  // Why a primary has to be replaced, and whether the handover may be undone.
  struct Trigger {
    Handover::Reason reason = Handover::Reason::kLost;
    Handover::Reopen reopen = Handover::Reopen::kAllowed;
  };

  void TickGroup(const GroupName& group);
  void DidReceiveKnowledge(const std::string& address,
                           const RecordKnowledge& knowledge);
  // Whether every home has said that it has left the earlier eras of the store
  // and that none of its orders is on its way.
  bool are_earlier_orders_over() const;
  // Starts or advances the recovery of a group's record, which the store does
  // not hold.
  void RecoverRecord(const GroupName& group, GroupDispatcher& dispatcher);
  std::optional<Trigger> FindTrigger(const PrimaryRecord& record,
                                     GroupDispatcher& dispatcher);
  bool is_loss_confirmed(const PrimaryRecord& record,
                         GroupDispatcher& dispatcher);
  void QueryHomes(const GroupName& group);
  void StartHandover(const PrimaryRecord& record,
                     GroupDispatcher& dispatcher,
                     Trigger trigger);
  // Returns the targets of the group, without reports.
  std::vector<SuccessorCandidate> SuccessorCandidates(
      const GroupName& group) const;
  // Whether another proxy may need the lease of the coordinator, for a group
  // that this proxy is no home of.
  bool has_foreign_groups() const;
  void FinishHandovers();
  // Returns the other homes of the group that are not marked as gone.
  std::vector<std::string> OtherHomes(const GroupName& group) const;
  // Returns how many homes of the group try a handover before this one.
  size_t Rank(const GroupName& group) const;
  const PrimaryRecord* FindRecord(const GroupName& group) const;

  Context context;
  TimePoint started_at{};
  CoordinatorLease lease;
  std::map<GroupName, std::unique_ptr<Handover>> handovers;
  std::map<GroupName, Suspicion> suspicions;
  // When a reason to replace a primary was first seen, and in which version of
  // its record.
  struct Triggered {
    TimePoint at{};
    uint64_t version = 0;
  };
  std::map<GroupName, Triggered> triggered;
  std::map<GroupName, TimePoint> leaving_since;
  // Since when a replica of the group has answered this proxy without a long
  // pause, and when it last did.
  struct ReplicaAnswers {
    TimePoint since{};
    TimePoint last_at{};
  };
  std::map<GroupName, ReplicaAnswers> replica_answers;
  std::map<GroupName, TimePoint> earliest_handover_at;
  std::map<GroupName, std::unique_ptr<RecordRecovery>> recoveries;
  // The records of handovers that a restore of the store interrupted. The view
  // may not have shown their last changes.
  std::map<GroupName, PrimaryRecord> interrupted_records;
  // The newest era of the store in which each home has said that it remembers
  // an earlier era and that none of its orders is on its way.
  std::map<std::string, uint64_t> era_without_orders;
  TimePoint promised_until_time{};
  bool is_draining = false;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_FAILOVER_AGENT_H_
