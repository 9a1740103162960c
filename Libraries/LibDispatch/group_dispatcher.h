#ifndef LIBDISPATCH_GROUP_DISPATCHER_H_
#define LIBDISPATCH_GROUP_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <vector>

#include "LibCore/life_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibDirectory/target_entry.h"
#include "LibDispatch/Forward.h"
#include "LibDispatch/group_access.h"
#include "LibDispatch/sent_statements.h"
#include "LibDispatch/work_request.h"
#include "LibLink/target_channel.h"
#include "LibPrimary/position_proofs.h"
#include "LibPrimary/primary_leases.h"

namespace kingcupmill {

class LinkPool;
class TargetLink;

// Brings statements to the targets of one group: keeps the queue, chooses the
// target, holds each answer against the lease on the primary.
class GroupDispatcher final : public GroupAccess {
 public:
  GroupDispatcher(Scheduler& scheduler,
                  TargetDialers dialers,
                  const PrimaryLeases& leases,
                  EventJournal& journal,
                  GroupName group,
                  PlaceName place);
  ~GroupDispatcher() override;

  // Takes the group's targets and this proxy's share of the connections of one
  // target.
  void SetTargets(std::span<const TargetEntry> entries, size_t link_limit);

  // GroupAccess:
  WorkNumber Submit(WorkRequest request, DidFinishWork did_finish) override;
  void Cancel(WorkNumber number) override;

  // Is called when the leases have changed: ends transactions on a primary that
  // may no longer be used, and starts work that waited for one.
  void DidChangeLeases();

  // Probes a primary that has been quiet, so that its silence means something.
  // Called at short intervals.
  void Tick();

  // Takes a proof from another proxy.
  void TakeProof(LogPoint point, TimePoint sent_at);

  // How long the primary has left this proxy's questions unanswered.
  Duration PrimarySilence() const;
  // How long ago the primary last answered this proxy, by whatever way.
  Duration PrimaryHeardAge() const {
    return this->scheduler.Now() - this->primary_answered_at;
  }
  // Whether the target that should lead refused to.
  bool has_primary_denied() const { return this->did_primary_deny; }
  // Whether a replica has answered within the last second.
  bool hears_replicas() const;
  // Statements and transactions on the primary that are not over.
  size_t open_primary_work() const;

  const PositionProofs& position_proofs() const { return this->proofs; }
  const std::map<TargetName, std::shared_ptr<TargetView>>& targets() const {
    return this->target_by_name;
  }
  size_t queue_length() const { return this->queue.size(); }
  // Connections that targets turned away because they had too many.
  uint64_t limit_refusals() const { return this->limit_refusal_count; }

  // A link for the proxy's own commands to a target, if one is open.
  std::shared_ptr<TargetLink> ControlLink(const TargetName& target);

  // Takes a free connection of this proxy to `target` for another proxy.
  // Returns false when there is none.
  bool Lend(const TargetName& target,
            std::shared_ptr<TargetView>& view,
            std::shared_ptr<TargetLink>& link);
  // Takes a lent connection back, with whatever is set up or open on it.
  void TakeBack(const std::shared_ptr<TargetView>& view,
                const std::shared_ptr<TargetLink>& link);

  // For OpenTransaction.
  bool may_use(const PrimaryRecord& record) const;
  TimePoint Now() const { return this->scheduler.Now(); }
  void DidReceiveFrom(TargetView& target,
                      const StatementAnswer& answer,
                      TimePoint sent_at);
  SentStatements& sent() { return this->sent_statements; }
  void DidOpenTransaction(OpenTransaction* transaction);
  void DidEndTransaction(OpenTransaction* transaction,
                         const std::shared_ptr<TargetView>& target,
                         const std::shared_ptr<TargetLink>& link);

 private:
  struct Work;
  using WorkPointer = std::shared_ptr<Work>;
  // Priority, then the time of receipt, then the number.
  using QueueKey = std::tuple<int, TimePoint, WorkNumber>;
  enum class StartResult { kStarted, kWaits, kNoTarget };
  struct Choice {
    std::shared_ptr<TargetView> target;
    std::optional<LogPoint> required_position;
    std::optional<PrimaryRecord> lease;
  };

  void Dispatch();
  StartResult TryStart(const WorkPointer& work);
  std::optional<Choice> Choose(Work& work, bool& may_come);
  std::optional<Choice> ChoosePrimary(Work& work, bool& may_come);
  std::optional<LogPoint> RequiredPosition(const Work& work) const;
  void Start(const WorkPointer& work, Choice choice);
  void Send(const WorkPointer& work,
            const Choice& choice,
            std::shared_ptr<TargetLink> link);
  void DidProbe(const WorkPointer& work,
                const Choice& choice,
                std::shared_ptr<TargetLink> link,
                bool is_alive);
  void DidReceive(const WorkPointer& work,
                  const Choice& choice,
                  const std::shared_ptr<TargetLink>& link,
                  TimePoint sent_at,
                  std::optional<StatementAnswer> answer);
  void DidReceiveError(const WorkPointer& work,
                       const Choice& choice,
                       StatementAnswer answer);
  void DidHangOn(const WorkPointer& work, const TargetName& target);
  void Requeue(const WorkPointer& work);
  void Enqueue(const WorkPointer& work);
  void DidWaitTooLong(const WorkPointer& work);
  void Refuse(const WorkPointer& work,
              StatementErrorCode code,
              const char* reason);
  void Finish(const WorkPointer& work, WorkOutcome outcome);
  Duration ComeBackAfter() const;
  void Release(const std::shared_ptr<TargetView>& target,
               const std::shared_ptr<TargetLink>& link);
  void RollBack(const std::shared_ptr<TargetView>& target,
                const std::shared_ptr<TargetLink>& link);
  void GetMoreLinks(TargetView& target);
  bool is_usable(const TargetView& target) const;
  void Prune();

  Scheduler& scheduler;
  TargetDialers dialers;
  const PrimaryLeases& leases;
  EventJournal& journal;
  GroupName group;
  PlaceName place;
  PositionProofs proofs;
  std::map<TargetName, std::shared_ptr<TargetView>> target_by_name;
  // Targets that are gone but still have links that carry work.
  std::vector<std::shared_ptr<TargetView>> retired;
  std::map<QueueKey, WorkPointer> queue;
  std::map<WorkNumber, WorkPointer> work_by_number;
  std::set<OpenTransaction*> transactions;
  // Statements outside transactions that were sent to the primary.
  struct AtPrimary {
    std::shared_ptr<TargetLink> link;
    PrimaryRecord lease;
  };
  std::map<WorkNumber, AtPrimary> at_primary;
  SentStatements sent_statements;
  uint64_t limit_refusal_count = 0;
  WorkNumber next_number = 1;
  bool is_dispatching = false;
  bool has_more_to_dispatch = false;
  TimePoint primary_answered_at{};
  // When the oldest question to the primary was sent that has no answer.
  std::optional<TimePoint> unanswered_since;
  TargetName primary_name;
  Term primary_term;
  uint64_t primary_version = 0;
  TimePoint probed_at{};
  bool did_primary_deny = false;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_GROUP_DISPATCHER_H_
