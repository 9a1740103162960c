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

namespace kingcupmill {

// What a group's database holds at the end of a run.
struct FinalState {
  // The number of rows for each (session, sequence).
  std::map<std::pair<int64_t, int64_t>, int64_t> orders;
  // The number of halves and their sum for each (session, sequence).
  struct Transfer {
    int64_t halves = 0;
    int64_t sum = 0;
  };
  std::map<std::pair<int64_t, int64_t>, Transfer> transfers;
  // The primary at the end.
  TargetName primary;
};

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
