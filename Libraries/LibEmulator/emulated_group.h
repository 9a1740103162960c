#ifndef LIBEMULATOR_EMULATED_GROUP_H_
#define LIBEMULATOR_EMULATED_GROUP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibEmulator/consistency_checker.h"
#include "LibEmulator/emulated_target.h"

namespace kingcupmill {

// Three replicating targets, and the external authority that promotes them.
class EmulatedGroup {
 public:
  EmulatedGroup(Scheduler& scheduler,
                ConsistencyChecker& checker,
                GroupName name,
                uint64_t seed,
                size_t synchronous_replicas);

  const GroupName& name() const { return this->group_name; }
  EmulatedTarget* Find(const TargetName& target);
  const std::vector<std::unique_ptr<EmulatedTarget>>& targets() const {
    return this->members;
  }
  // The target that was promoted last, whether or not it runs.
  EmulatedTarget& leader() { return *this->members[this->leader_index]; }

  // Orders a promotion. Returns false when the target is not running.
  bool Promote(const TargetName& target);

  // Replicas apply commits that are older than `lag`.
  void SetLag(Duration lag) { this->lag = lag; }
  // One replica receives commits only when they are older than `lag`.
  void SetLag(const TargetName& target, Duration lag);
  // The primary reaches no replica while any fault pauses replication. Each
  // pause needs a resume.
  void PauseReplication() { ++this->replication_faults; }
  void ResumeReplication() { --this->replication_faults; }

  uint64_t promotions() const { return this->promotion_count; }

 private:
  void Replicate();
  // Tells the primary how much of its log enough replicas hold.
  void Acknowledge();
  Duration LagOf(const TargetName& target) const;
  void FinishPromotion(size_t index);

  Scheduler& scheduler;
  ConsistencyChecker& checker;
  GroupName group_name;
  size_t synchronous_replicas;
  std::vector<std::unique_ptr<EmulatedTarget>> members;
  size_t leader_index = 0;
  Duration lag = std::chrono::milliseconds(20);
  std::map<TargetName, Duration> own_lags;
  int replication_faults = 0;
  TimePoint promoted_at{};
  uint64_t promotion_count = 0;
  // The length of the leader's log at recent points in time.
  std::vector<std::pair<TimePoint, size_t>> log_lengths;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_GROUP_H_
