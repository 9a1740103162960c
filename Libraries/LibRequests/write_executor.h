#ifndef LIBREQUESTS_WRITE_EXECUTOR_H_
#define LIBREQUESTS_WRITE_EXECUTOR_H_

#include <memory>
#include <optional>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibRequests/client_request.h"
#include "LibRequests/group_options.h"
#include "LibRequests/reply.h"
#include "LibRequests/request_ledger.h"
#include "LibRequests/target_pool.h"

namespace kingcupmill {

class DecisionLog;
class GroupMonitor;

// Runs writes of one group at most once:
//   1. wait until the primary is confirmed by its majority;
//   2. send the statement between the statements of its ledger record;
//   3. an answer that proves that nothing ran leads back to 1;
//   4. after a lost answer, a repeatable write leads back to 1, where its
//      ledger record collides if it ran; any other write is settled by a
//      tombstone at the current primary: the record shows that it ran, or the
//      tombstone makes sure that it never will.
class WriteExecutor {
 public:
  WriteExecutor(Scheduler& scheduler,
                GroupMonitor& monitor,
                const DecisionLog& log,
                const GroupOptions& options);
  ~WriteExecutor();
  WriteExecutor(const WriteExecutor&) = delete;
  WriteExecutor& operator=(const WriteExecutor&) = delete;

  // Runs a kWrite request.
  void Execute(ClientRequest request, Reply reply);

  // Finds out what became of `request_id`, and settles it if it has not run.
  void Settle(ClientRequest request, Reply reply);

  // Settles a commit whose answer was lost; `digest` is its ledger digest.
  void SettleCommit(const RequestId& id,
                    uint64_t digest,
                    TimePoint deadline,
                    const ApplicationName& application,
                    Reply reply);

 private:
  struct Flow;
  using FlowPointer = std::shared_ptr<Flow>;
  using Step = void (WriteExecutor::*)(const FlowPointer&);

  void Attempt(const FlowPointer& flow);
  void DidAttempt(const FlowPointer& flow, SubmitOutcome outcome);
  void DidFail(const FlowPointer& flow, const TargetResponse& response);
  void DidLose(const FlowPointer& flow);
  void SettleAttempt(const FlowPointer& flow);
  void DidSettle(const FlowPointer& flow, SubmitOutcome outcome);
  void AnswerFromLedger(const FlowPointer& flow,
                        const LedgerEntry& entry,
                        const TargetResponse& response);
  void RetryLater(const FlowPointer& flow, Step step);
  void Finish(const FlowPointer& flow, ClientAnswer answer);
  std::vector<Statement> StatementsFor(const ClientRequest& request) const;

  Scheduler& scheduler;
  GroupMonitor& monitor;
  const DecisionLog& log;
  const GroupOptions& options;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_WRITE_EXECUTOR_H_
