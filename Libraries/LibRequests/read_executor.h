#ifndef LIBREQUESTS_READ_EXECUTOR_H_
#define LIBREQUESTS_READ_EXECUTOR_H_

#include <memory>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibRequests/client_request.h"
#include "LibRequests/group_options.h"
#include "LibRequests/reply.h"
#include "LibRequests/target_pool.h"
#include "LibRouting/read_query.h"

namespace kingcupmill {

class DecisionLog;
class GroupMonitor;

// Runs the reads of one group. Sends each read to the target that the router
// chooses, and retries until the deadline when the response is lost, the target
// lags behind, or the result is too stale.
class ReadExecutor {
 public:
  ReadExecutor(Scheduler& scheduler,
               GroupMonitor& monitor,
               const DecisionLog& log,
               const GroupOptions& options);
  ~ReadExecutor();
  ReadExecutor(const ReadExecutor&) = delete;
  ReadExecutor& operator=(const ReadExecutor&) = delete;

  // Runs a kRead request.
  void Execute(ClientRequest request, Reply reply);

  // Returns the routing decision for a read, without running it.
  ReadDecision Explain(const ReadQuery& query, Priority priority) const;

 private:
  struct PendingRead;
  using PendingReadPointer = std::shared_ptr<PendingRead>;

  void Attempt(const PendingReadPointer& read);
  void Send(const PendingReadPointer& read, const ReadDecision& decision);
  void DidAttempt(const PendingReadPointer& read, SubmitOutcome outcome);
  void FinishIfFresh(const PendingReadPointer& read, TargetResponse response);
  void RetryLater(const PendingReadPointer& read);
  void Retry(const PendingReadPointer& read);
  void Finish(const PendingReadPointer& read, ClientAnswer answer);
  void LogDecision(const ReadDecision& decision) const;

  Scheduler& scheduler;
  GroupMonitor& monitor;
  const DecisionLog& log;
  const GroupOptions& options;
  ReadRouter router;
  RetryBudget budget;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_READ_EXECUTOR_H_
