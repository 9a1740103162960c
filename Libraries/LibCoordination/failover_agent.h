#ifndef LIBCOORDINATION_FAILOVER_AGENT_H_
#define LIBCOORDINATION_FAILOVER_AGENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCoordination/duty_lease.h"
#include "LibCoordination/handover.h"
#include "LibCoordination/member_watch.h"
#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/target_entry.h"
#include "LibPeer/peer_links.h"

namespace kingcupmill {

// Decides when a group's primary is replaced, and by which proxy.
//
// A primary that leaves or is gone from the store is replaced at once. One that
// does not answer is replaced when most members say the same: a proxy that is
// cut off by itself must not move a primary that serves all others.
class FailoverAgent {
 public:
  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    PeerLinks& peers;
    MemberWatch& watch;
    PromotionAuthority& authority;
    EventJournal& journal;
    VmName self;
    std::string self_address;
    std::string incarnation;
    Duration lease_wait;
    // The groups of which this proxy is a home.
    std::function<std::vector<GroupName>()> groups;
    std::function<GroupDispatcher*(const GroupName&)> find_group;
    // All known targets of a group.
    std::function<std::vector<TargetEntry>(const GroupName&)> targets;
    // Whether a target that the store does not show is surely gone.
    std::function<bool()> is_directory_certain;
    std::function<bool(const PrimaryRecord&)> stop_locally;
  };

  explicit FailoverAgent(Context context);

  // Goes on where something has changed. Called at short intervals.
  void Tick();

  // Starts nothing any more; ends what is under way.
  void Leave();

  bool is_active() const { return !this->handovers.empty(); }
  const DutyLease& duty_lease() const { return this->duty; }

 private:
  struct Suspicion {
    TimePoint since{};
    TimePoint asked_at{};
    // How long each member has had no answer, by its last word.
    std::map<std::string, HealthAnswer> answers;
    std::map<std::string, TimePoint> answered_at;
  };
  // A plan to replace a primary, and why.
  struct Trigger {
    Handover::Reason reason = Handover::Reason::kLost;
    Handover::Reopen reopen = Handover::Reopen::kAllowed;
  };

  void TickGroup(const GroupName& group);
  void CreateRecord(const GroupName& group);
  std::optional<Trigger> FindTrigger(const PrimaryRecord& record,
                                     GroupDispatcher& dispatcher);
  bool do_members_agree(const PrimaryRecord& record,
                        GroupDispatcher& dispatcher);
  void AskHomes(const GroupName& group);
  void StartHandover(const PrimaryRecord& record,
                     GroupDispatcher& dispatcher,
                     Trigger trigger);
  void FinishHandovers();
  // Removes members that have been gone for so long that nobody waits for them.
  // Marks those of `watched` that have been silent for too long.
  // The members that are not gone, in a ring by hash, from the one after
  // `address` on.
  // The members that this proxy watches: its next ones in the ring, so that the
  // work of one proxy does not grow with their number.
  // Other members that may use a group's primary.
  std::vector<std::string> OtherHomes(const GroupName& group) const;
  // How many homes of the group come before this one.
  size_t Rank(const GroupName& group) const;
  const PrimaryRecord* Find(const GroupName& group) const;

  Context context;
  DutyLease duty;
  std::map<GroupName, std::unique_ptr<Handover>> handovers;
  std::map<GroupName, Suspicion> suspicions;
  std::map<GroupName, TimePoint> triggered_at;
  std::map<GroupName, TimePoint> leaving_since;
  std::map<GroupName, TimePoint> not_before;
  std::map<GroupName, TimePoint> created_at;
  bool is_leaving = false;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_FAILOVER_AGENT_H_
