#ifndef LIBREQUESTS_WRITE_EXECUTOR_H_
#define LIBREQUESTS_WRITE_EXECUTOR_H_

#include <memory>
#include <optional>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibRequests/client_request.h"
#include "LibRequests/group_options.h"
#include "LibRequests/reply.h"
#include "LibRequests/request_ledger.h"
#include "LibRequests/target_pool.h"

namespace kingcupmill {

class DecisionLog;
class GroupMonitor;

// Runs the writes of one group, each at most once:
//   1. Wait until a majority has confirmed the primary.
//   2. Send the statement to the primary, in a transaction that also inserts
//      its ledger record.
//   3. If the response proves that nothing ran, go back to 1.
//   4. If the response is lost and the write is repeatable, go back to 1. If
//      the write has run, its ledger record violates the primary key.
//   5. If the response is lost and the write is not repeatable, resolve the
//      outcome at the current primary: either the ledger shows that the write
//      has run, or a tombstone in the ledger prevents it from ever running.
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

  // Runs a kGetOutcome request: resolves the outcome of the write with its
  // request id. A write that has not run will never run afterwards.
  void ResolveOutcome(ClientRequest request, Reply reply);

  // Resolves the outcome of a commit whose response was lost. `digest` is the
  // transaction's digest in the ledger.
  void ResolveCommit(const RequestId& id,
                     uint64_t digest,
                     TimePoint deadline,
                     const ApplicationName& application,
                     Reply reply);

 private:
  struct PendingWrite;
  using PendingWritePointer = std::shared_ptr<PendingWrite>;
  using Step = void (WriteExecutor::*)(const PendingWritePointer&);

  void Attempt(const PendingWritePointer& write);
  void DidAttempt(const PendingWritePointer& write, SubmitOutcome outcome);
  void DidFail(const PendingWritePointer& write,
               const TargetResponse& response);
  void DidLoseResponse(const PendingWritePointer& write);
  void AttemptResolve(const PendingWritePointer& write);
  void DidResolve(const PendingWritePointer& write, SubmitOutcome outcome);
  void AnswerFromLedger(const PendingWritePointer& write,
                        const LedgerEntry& entry,
                        const TargetResponse& response);
  void RetryLater(const PendingWritePointer& write, Step step);
  void Finish(const PendingWritePointer& write, ClientAnswer answer);
  std::vector<Statement> StatementsFor(const ClientRequest& request) const;

  Scheduler& scheduler;
  GroupMonitor& monitor;
  const DecisionLog& log;
  const GroupOptions& options;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_WRITE_EXECUTOR_H_
