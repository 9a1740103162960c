#ifndef LIBLAB_HISTORY_CHECKER_H_
#define LIBLAB_HISTORY_CHECKER_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibLab/call_record.h"
#include "LibLab/experiment_report.h"
#include "LibLab/final_state.h"

namespace kingcupmill {

// A value of the shared clock that was acknowledged at a time.
struct ClockTick {
  int64_t value = 0;
  TimePoint acknowledged_at;
};

// Holds what callers were told against what the databases hold.
class HistoryChecker {
 public:
  HistoryChecker(std::map<GroupName, FinalState> states,
                 std::map<GroupName, std::vector<ClockTick>> ticks,
                 Duration stated_age);

  // Counts the broken promises in `history`.
  ExperimentReport::Violations Check(std::span<const CallRecord> history) const;

 private:
  void CheckWrite(const CallRecord& record,
                  ExperimentReport::Violations& violations) const;
  void CheckTransaction(const CallRecord& record,
                        ExperimentReport::Violations& violations) const;
  void CheckRead(const CallRecord& record,
                 ExperimentReport::Violations& violations) const;

  std::map<GroupName, FinalState> states;
  std::map<GroupName, std::vector<ClockTick>> ticks;
  Duration stated_age;
};

}  // namespace kingcupmill

#endif  // LIBLAB_HISTORY_CHECKER_H_
