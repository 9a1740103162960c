#ifndef LIBCOORDINATION_HANDOVER_H_
#define LIBCOORDINATION_HANDOVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCoordination/coordinator_lease.h"
#include "LibCoordination/promotion_authority.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"
#include "LibStatement/statement_answer.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

class EventLog;
class GroupDispatcher;

// Replaces the primary of one group:
// 1. Acquire the lease of the coordinator: no other proxy orders promotions.
// 2. Mark the primary as closing in the store, which stops new leases on it.
// 3. Wait until every home has stopped using it or can have no lease any more.
// 4. Step the old primary down if it answers, which ends its log.
// 5. Choose the replica that has received most of the log. Where the end of the
//    old primary's log is known, wait for the replica to have received all.
// 6. Record the chosen target in the store, so that a successor of this proxy
//    knows the only target that may have been promoted.
// 7. Order the promotion.
// 8. Wait until the chosen target is primary in a later term.
// 9. Record it in the store as the serving primary.
class Handover {
 public:
  enum class Reason { kPlanned, kLost };

  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    CoordinatorLease& coordinator_lease;
    PeerLinks& peers;
    PromotionAuthority& authority;
    EventLog& event_log;
    GroupDispatcher& group;
    VmName self;
    std::string self_address;
    // Length of a lease on a primary, plus a margin for late timers.
    Duration lease_wait;
    // Releases this proxy's own lease on the primary. Returns false while open
    // requests still use the primary.
    std::function<bool(const PrimaryRecord&)> release_own_lease;
    // Returns the targets that may be promoted, which are the ready ones.
    std::function<std::set<TargetName>()> candidates;
  };

  // Whether the handover may be undone.
  enum class Reopen {
    // A primary that still answers is put back into use when a member takes too
    // long to stop using it.
    kAllowed,
    // The primary has to be replaced.
    kForbidden,
  };

  // `record` is the newest record of the group in the view.
  Handover(Context context, PrimaryRecord record, Reason reason, Reopen reopen);

  // Advances the handover as far as possible. The owner calls this at short
  // intervals.
  void Tick();

  bool is_done() const { return this->step == Step::kDone; }
  const PrimaryRecord& record() const { return this->old_record; }
  // Returns the members that had not stopped when the last lease expired.
  const std::set<std::string>& unresponsive_members() const {
    return this->unresponsive;
  }

 private:
  enum class Step {
    kAcquireLease,
    kClose,
    kWaitForMembers,
    kStepDown,
    kChoose,
    kRecordChoice,
    kPromote,
    kVerify,
    kRecordPrimary,
    kReopen,
    kDone,
  };

  void Enter(Step next);
  void TickClose();
  void TickWaitForMembers();
  void TickStepDown();
  void TickChoose();
  void TickRecordChoice();
  void TickPromote();
  void TickVerify();
  void TickRecordPrimary(const PrimaryRecord& wanted);
  void QueryMembers();
  // Returns the other homes of the group that have not confirmed that they
  // stopped using the primary.
  std::vector<std::string> MembersNotStopped() const;
  bool have_all_stopped(TimePoint now);
  void QueryStatus(const TargetName& target);
  void DidReceiveReport(const TargetName& target,
                        const StatementAnswer& answer);
  void DidTakeOver(const TargetName& target, Term term);
  const PrimaryRecord* NewestRecord() const;
  Duration TimeInStep() const;

  Context context;
  PrimaryRecord old_record;
  Reason reason;
  Reopen reopen;
  Step step = Step::kAcquireLease;
  TimePoint step_entered_at{};
  TimePoint started_at{};
  // When the store was known to hold the record as closing.
  TimePoint closed_at{};
  bool is_request_pending = false;
  TimePoint request_sent_at{};
  TimePoint queried_at{};
  std::set<std::string> stopped_members;
  // When a member last reported that the primary answers it.
  TimePoint primary_alive_at{};
  std::set<std::string> unresponsive;
  std::map<TargetName, TargetReport> reports;
  std::set<TargetName> excluded_targets;
  std::optional<LogPoint> final_point;
  bool did_send_step_down = false;
  TargetName chosen_target;
  // The promotion of another target was ordered before, so that one may briefly
  // be primary in the newest term.
  bool has_competing_order = false;
  PrimaryRecord next_record;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_HANDOVER_H_
