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

// A value of the shared clock and the time at which its write was acknowledged.
struct ClockTick {
  int64_t value = 0;
  TimePoint acknowledged_at;
};

// Compares the answers to callers with the final databases.
class HistoryChecker {
 public:
  HistoryChecker(std::map<GroupName, FinalState> states,
                 std::map<GroupName, std::vector<ClockTick>> ticks,
                 Duration staleness_bound);

  // Counts the violated guarantees in `history`. Every group in it must have a
  // final state.
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
  Duration staleness_bound;
};

}  // namespace kingcupmill

#endif  // LIBLAB_HISTORY_CHECKER_H_
