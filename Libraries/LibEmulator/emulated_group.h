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
#include "LibEmulator/emulated_target.h"
#include "LibEmulator/promise_checker.h"

namespace kingcupmill {

// Three targets that replicate, and the outside authority's power over them.
class EmulatedGroup {
 public:
  EmulatedGroup(Scheduler& scheduler,
                PromiseChecker& checker,
                GroupName name,
                uint64_t seed);

  const GroupName& name() const { return this->group_name; }
  EmulatedTarget* Find(const TargetName& target);
  const std::vector<std::unique_ptr<EmulatedTarget>>& targets() const {
    return this->members;
  }
  // The target that was promoted last.
  EmulatedTarget& leader() { return *this->members[this->leader_index]; }

  // Orders a promotion; returns false when the target does not run.
  bool Promote(const TargetName& target);

  // Replicas apply what is older than this.
  void SetLag(Duration lag) { this->lag = lag; }
  // The primary reaches no replica while any fault cuts it off.
  void CutFromReplicas() { ++this->cuts; }
  void HealCutFromReplicas() { --this->cuts; }

  uint64_t promotions() const { return this->promotion_count; }

 private:
  void Replicate();
  void TakeOver(size_t index);

  Scheduler& scheduler;
  PromiseChecker& checker;
  GroupName group_name;
  std::vector<std::unique_ptr<EmulatedTarget>> members;
  size_t leader_index = 0;
  Duration lag = std::chrono::milliseconds(20);
  int cuts = 0;
  TimePoint taken_over_at{};
  uint64_t promotion_count = 0;
  // How long the leader's log was at each moment of the recent past.
  std::vector<std::pair<TimePoint, size_t>> lengths;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_GROUP_H_
