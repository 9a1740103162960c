#ifndef LIBCOORDINATION_STATUS_QUERIES_H_
#define LIBCOORDINATION_STATUS_QUERIES_H_

#include <functional>
#include <map>

#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

class GroupDispatcher;

// Asks the targets of one group for their roles and the ends of their logs.
class StatusQueries {
 public:
  enum class Need {
    // A decision is made without a report that does not come soon.
    kUseful,
    // A decision waits for the report.
    kRequired,
  };
  using DidReport = std::function<void(const TargetName&, const TargetReport&)>;

  StatusQueries(Scheduler& scheduler,
                GroupDispatcher& dispatcher,
                DidReport did_report);

  // Sends a status command if there is a connection for it, and starts to open
  // one otherwise. The timeout of a required command grows with `waited_for`,
  // how long reports have been waited for: an overloaded target can answer, and
  // a silent connection is replaced early.
  void Send(const TargetName& target, Need need, Duration waited_for);

 private:
  Scheduler& scheduler;
  GroupDispatcher& dispatcher;
  DidReport did_report;
  std::map<TargetName, TimePoint> last_sent_at;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_STATUS_QUERIES_H_
