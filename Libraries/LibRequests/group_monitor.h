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

// Watches the targets of one group, keeps the connections to them, and promotes
// a new primary when the Promoter decides so.
class GroupMonitor {
 public:
  // Told after this proxy has promoted a target.
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

  // This proxy's place among the group's homes; 0 promotes first.
  void SetRank(size_t rank);
  // The targets that leave and get no new work.
  void SetLeaving(std::set<TargetName> leaving);
  // The targets in the same place as this proxy.
  void SetLocal(std::set<TargetName> local);

  const GroupView& view() const { return this->group_view; }
  TargetPool& pool(const TargetName& target);
  std::map<TargetName, TargetLoad> Loads(Priority priority) const;
  uint64_t promotion_count() const { return this->promoter.promotion_count(); }

  // Sends a round of probes now; call it when a read needs fresher proof.
  void Probe();

 private:
  void Tick();
  void Review();
  void DidReceiveStatus(const TargetName& target,
                        const TargetStatus& status,
                        TimePoint sent_at);
  void Run(const std::vector<PromotionAction>& actions);
  // Sends a request of a promotion; its answer is a status and leads to the
  // promotion's next actions.
  using DidAnswerTerm =
      std::function<std::vector<PromotionAction>(const TargetResponse&)>;
  void SendTermRequest(const TargetName& target,
                       TargetRequest request,
                       DidAnswerTerm did_answer);
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
