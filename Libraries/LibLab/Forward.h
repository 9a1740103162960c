#ifndef LIBLAB_FORWARD_H_
#define LIBLAB_FORWARD_H_

namespace kingcupmill {

class CallerSession;
class Experiment;
class HistoryChecker;
struct CallRecord;
struct ExperimentOptions;
struct ExperimentReport;

}  // namespace kingcupmill

#endif  // LIBLAB_FORWARD_H_
