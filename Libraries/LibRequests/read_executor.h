#ifndef LIBREQUESTS_READ_EXECUTOR_H_
#define LIBREQUESTS_READ_EXECUTOR_H_

#include <memory>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibRequests/client_request.h"
#include "LibRequests/group_options.h"
#include "LibRequests/reply.h"
#include "LibRequests/target_pool.h"
#include "LibRouting/read_query.h"

namespace kingcupmill {

class DecisionLog;
class GroupMonitor;

// Runs reads of one group: asks the router for a target, and asks again after
// an answer that is lost, behind or too old, until the deadline.
class ReadExecutor {
 public:
  ReadExecutor(Scheduler& scheduler,
               GroupMonitor& monitor,
               const DecisionLog& log,
               const GroupOptions& options);
  ~ReadExecutor();
  ReadExecutor(const ReadExecutor&) = delete;
  ReadExecutor& operator=(const ReadExecutor&) = delete;

  void Execute(ClientRequest request, Reply reply);

  // Returns where a read would go now, without sending it.
  ReadDecision Explain(const ReadQuery& query, Priority priority) const;

 private:
  struct Flow;
  using FlowPointer = std::shared_ptr<Flow>;

  void Attempt(const FlowPointer& flow);
  void Send(const FlowPointer& flow, const ReadDecision& decision);
  void DidAttempt(const FlowPointer& flow, SubmitOutcome outcome);
  void DidRead(const FlowPointer& flow, TargetResponse response);
  void RetryLater(const FlowPointer& flow);
  void Retry(const FlowPointer& flow);
  void Finish(const FlowPointer& flow, ClientAnswer answer);
  void LogDecision(const ReadDecision& decision) const;

  Scheduler& scheduler;
  GroupMonitor& monitor;
  const DecisionLog& log;
  const GroupOptions& options;
  ReadRouter router;
  RetryBudget budget;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_READ_EXECUTOR_H_
