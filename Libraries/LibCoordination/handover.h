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
#include "LibCoordination/status_queries.h"
#include "LibCoordination/successor_choice.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"
#include "LibPrimary/lease_terms.h"
#include "LibStatement/statement_answer.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

class EventLog;
class GroupDispatcher;

// Replaces the primary of one group:
// 1. Acquire the lease of the coordinator: no other proxy orders promotions.
// 2. If the primary still serves, make sure that the rest will be short: every
//    other home answers or can have no lease. A silent one is barred first.
// 3. Mark the primary as closing in the store, which stops new leases on it.
//    The write is accepted only while this proxy's own row is unchanged, so
//    that a process that was excluded or replaced starts no handover.
// 4. Wait until every home has stopped using it or can have no lease any more.
// 5. Step the old primary down if it answers, which ends its log.
// 6. Choose the replica that has received most of the log. Where the end of the
//    old primary's log is known, wait for the replica to have received all. In
//    a group with synchronous replicas, wait until one is known to hold every
//    acknowledged commit; if the old primary answers meanwhile, it is put back
//    into use.
// 7. Record the chosen target in the store, so that a successor of this proxy
//    knows the only target that may have been promoted.
// 8. Order the promotion.
// 9. Wait until the chosen target is primary in a later term.
// 10. Record it in the store as the serving primary.
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
    LeaseTerms lease_terms;
    // Releases this proxy's own lease on the primary. Returns false while open
    // requests still use the primary.
    std::function<bool(const PrimaryRecord&)> release_own_lease;
    // Returns the targets of the group, without reports.
    std::function<std::vector<SuccessorCandidate>()> targets;
    // Returns how many replicas receive a commit before it is acknowledged.
    std::function<int()> synchronous_replicas;
    // Returns whether a handover that waits for reports should end, so that
    // another proxy can become the coordinator.
    std::function<bool()> should_yield;
    // Until when a promise of this proxy to start no handover may extend the
    // lease of another one.
    TimePoint promised_until;
    // Bars a member from leases.
    std::function<void(const std::string&)> bar_member;
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
    kPrepare,
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

  static const char* NameOf(Step step);

  void Enter(Step next);
  // Does what the current step allows; may enter another step.
  void TickStep();
  void TickPrepare();
  void TickClose();
  void TickWaitForMembers();
  void TickStepDown();
  void TickChoose();
  // Waits because no target is known to hold every acknowledged commit.
  void AwaitReports(const SuccessorChoice& choice);
  void TickRecordChoice();
  void TickPromote();
  void TickVerify();
  void TickRecordPrimary(const PrimaryRecord& wanted);
  // Asks the members that have not stopped to do so, and the others whether the
  // primary answers them.
  void QueryMembers();
  void QueryHealth(const std::string& address);
  // Returns the other homes of the group that have not confirmed that they
  // stopped using the primary.
  std::vector<std::string> MembersNotStopped() const;
  bool have_all_stopped(TimePoint now);
  // Returns when a member that does not answer certainly holds no lease, if the
  // primary was closing at `closed_at`.
  TimePoint LeaseEndOf(const std::string& address, TimePoint closed_at) const;
  // Returns when a home whose row was lost when the store was restored
  // certainly holds no lease any more.
  TimePoint EarlierLeaseEnd() const;
  // Whether the homes that have not stopped may be most of those that one of
  // them knows.
  bool may_silent_extend(TimePoint closed_at) const;
  // Whether the primary is in use again: it still leads and answers.
  bool is_primary_alive() const;
  void LogAwaitedMembers();
  void LogAwaitedReports(const SuccessorChoice& choice);
  SuccessorChoice Choose() const;
  // Whether the report of the old primary shows all that this proxy knows to
  // be in its log. A process that has lost its log does not.
  bool is_complete_log(const TargetReport& report) const;
  bool has_synchronous_replicas() const {
    return this->context.synchronous_replicas() > 0;
  }
  // Whether the target is listed as ready.
  bool is_ready(const TargetName& target) const;
  // Whether the old primary has answered that it leads, and no order can have
  // superseded it.
  bool is_old_primary_leading() const;
  void QueryTargets();
  void QueryStatus(const TargetName& target);
  void DidReceiveReport(const TargetName& target, const TargetReport& report);
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
  // Until when a promise of this proxy or of a member that has stopped may
  // extend the lease of a silent one.
  TimePoint promised_until{};
  // When each member last answered this handover.
  std::map<std::string, TimePoint> answered_at;
  bool has_logged_awaited = false;
  TimePoint awaited_reports_logged_at{};
  // When a member last reported that the primary answers it.
  TimePoint primary_alive_at{};
  std::set<std::string> unresponsive;
  std::map<TargetName, TargetReport> reports;
  // When the last order to promote each of these failed.
  std::map<TargetName, TimePoint> excluded_targets;
  std::optional<LogPoint> final_point;
  // The most that a candidate has received of the old primary's log, and when
  // that last grew.
  LogPoint best_received;
  TimePoint best_received_at{};
  bool did_send_step_down = false;
  TargetName chosen_target;
  // The promotion of another target was ordered before, so that one may briefly
  // be primary in the newest term.
  bool has_competing_order = false;
  PrimaryRecord next_record;
  StatusQueries status_queries;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_HANDOVER_H_
