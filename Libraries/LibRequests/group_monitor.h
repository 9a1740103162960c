#ifndef LIBREQUESTS_GROUP_MONITOR_H_
#define LIBREQUESTS_GROUP_MONITOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibFailover/group_view.h"
#include "LibFailover/promoter.h"
#include "LibRequests/group_options.h"
#include "LibRequests/target_pool.h"
#include "LibRouting/read_query.h"

namespace kingcupmill {

class DecisionLog;

// Polls the status of the targets of one group, owns the connection pools to
// them, and carries out the promotions that its Promoter decides on.
class GroupMonitor {
 public:
  // Called after this proxy has promoted a target.
  using DidPromote = std::function<void(const RecordPrimary&)>;

  GroupMonitor(Scheduler& scheduler,
               TargetConnector& connector,
               const DecisionLog& log,
               SeededRandom& random,
               const GroupOptions& options,
               DidPromote did_promote);
  ~GroupMonitor();
  GroupMonitor(const GroupMonitor&) = delete;
  GroupMonitor& operator=(const GroupMonitor&) = delete;

  // Sets this proxy's index in the group's list of home proxies. The proxy with
  // index 0 is the first to attempt a promotion.
  void SetRank(size_t rank);
  // Sets the targets that are about to be removed and get no new work.
  void SetLeaving(std::set<TargetName> leaving);
  // Sets the targets in the same availability zone as this proxy.
  void SetLocal(std::set<TargetName> local);

  const GroupView& view() const { return this->group_view; }
  // Returns the connection pool of a member of the group.
  TargetPool& pool(const TargetName& target);
  // Returns the load of each target that has an open work connection.
  std::map<TargetName, TargetLoad> Loads(Priority priority) const;
  uint64_t promotion_count() const { return this->promoter.promotion_count(); }

  // Sends a status request to every target now, rather than at the next
  // interval. Call it when a read needs more recent statuses. Does nothing when
  // requests have already been sent at the current time.
  void Probe();

 private:
  void Tick();
  void UpdatePromoter();
  void DidReceiveStatus(const TargetName& target,
                        const TargetStatus& status,
                        TimePoint sent_at);
  void PerformAll(const std::vector<PromotionAction>& actions);
  // Sends a request that is part of a promotion. `handler` receives the
  // response and returns the next actions of the promotion.
  using TermResponseHandler =
      std::function<std::vector<PromotionAction>(const TargetResponse&)>;
  void SendTermRequest(const TargetName& target,
                       TargetRequest request,
                       TermResponseHandler handler);
  void Perform(const SealTarget& action);
  void Perform(const LeadTarget& action);
  void Perform(const HoldWrites& action);
  void Perform(const RecordPrimary& action);
  std::string Proposer() const;

  Scheduler& scheduler;
  const DecisionLog& log;
  const GroupOptions& options;
  DidPromote did_promote;
  GroupView group_view;
  Promoter<SeededRandom> promoter;
  std::map<TargetName, std::unique_ptr<TargetPool>> pools;
  size_t rank = 0;
  std::set<TargetName> leaving;
  std::set<TargetName> local;
  Scheduler::TimerId tick_timer = 0;
  TimePoint last_probe_at;
  std::optional<PrimaryView> last_primary;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_GROUP_MONITOR_H_
