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
#include "LibCoordination/duty_lease.h"
#include "LibCoordination/promotion_authority.h"
#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"
#include "LibStatement/statement_answer.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

class EventJournal;
class GroupDispatcher;

// Replaces the primary of one group:
// 1. Hold the duty, so that nobody else orders promotions.
// 2. Mark the primary as closing in the store: no new leases.
// 3. Wait until every member has stopped using it, or its lease has run out.
// 4. Step the old primary down, where it answers: its log ends.
// 5. Choose the replica that has received most; wait for it to have received
//    all that the old primary's log holds, where that is known.
// 6. Write into the store which target is ordered to lead, so that a successor
//    of this proxy knows the only one that may.
// 7. Order the promotion.
// 8. Wait until that target leads a later term.
// 9. Mark it as serving in the store.
class Handover {
 public:
  enum class Reason { kPlanned, kLost };

  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    DutyLease& duty;
    PeerLinks& peers;
    PromotionAuthority& authority;
    EventJournal& journal;
    GroupDispatcher& group;
    VmName self;
    std::string self_address;
    // How long a lease on a primary lasts, with the slack for slow clocks.
    Duration lease_wait;
    // Gives up this proxy's own lease; returns whether nothing uses it.
    std::function<bool(const PrimaryRecord&)> stop_locally;
    // Targets that may lead: ready ones.
    std::function<std::set<TargetName>()> candidates;
  };

  // `record` is the newest in the view.
  enum class Reopen {
    // A primary that works is used again when a member keeps everyone waiting.
    kAllowed,
    // It has to go.
    kForbidden,
  };

  Handover(Context context, PrimaryRecord record, Reason reason, Reopen reopen);

  // Goes on where something has changed. Called at short intervals.
  void Tick();

  bool is_done() const { return this->step == Step::kDone; }
  const PrimaryRecord& record() const { return this->from; }
  // Members that did not answer until nobody could have a lease any more.
  const std::set<std::string>& absent() const { return this->absent_members; }

 private:
  enum class Step {
    kTakeDuty,
    kClose,
    kWaitForMembers,
    kStepDown,
    kChoose,
    kIntend,
    kPromote,
    kVerify,
    kRecord,
    kReopen,
    kDone,
  };

  void Enter(Step next);
  void TickClose();
  void TickWaitForMembers();
  void TickStepDown();
  void TickChoose();
  void TickIntend();
  void TickPromote();
  void TickVerify();
  void TickRecord(const PrimaryRecord& next);
  void AskMembers();
  // Other members that may use the primary and have not said that they stopped.
  std::vector<std::string> Unstopped() const;
  bool has_everyone_stopped(TimePoint now);
  void AskReport(const TargetName& target);
  void DidReport(const TargetName& target, const StatementAnswer& answer);
  void Leads(const TargetName& target, Term term);
  const PrimaryRecord* Newest() const;
  Duration InStep() const;

  Context context;
  PrimaryRecord from;
  Reason reason;
  Reopen reopen;
  Step step = Step::kTakeDuty;
  TimePoint step_entered_at{};
  TimePoint started_at{};
  // When the closing row was surely in the store.
  TimePoint closed_at{};
  bool is_call_pending = false;
  TimePoint call_sent_at{};
  TimePoint asked_at{};
  std::set<std::string> stopped;
  // When a member last said that the primary answers it.
  TimePoint heard_alive_at{};
  std::set<std::string> absent_members;
  std::map<TargetName, TargetReport> reports;
  std::set<TargetName> excluded;
  std::optional<LogPoint> final_point;
  bool did_ask_step_down = false;
  TargetName chosen;
  // Another target was ordered before; its term may be the newest for a moment.
  bool has_rival = false;
  PrimaryRecord next;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_HANDOVER_H_
