#ifndef LIBREQUESTS_TRANSACTION_TABLE_H_
#define LIBREQUESTS_TRANSACTION_TABLE_H_

#include <map>
#include <memory>
#include <string>

#include "LibCore/life_guard.h"
#include "LibCore/random_source.h"
#include "LibCore/scheduler.h"
#include "LibFailover/group_view.h"
#include "LibRequests/client_request.h"
#include "LibRequests/group_options.h"
#include "LibRequests/reply.h"
#include "LibRequests/target_pool.h"

namespace kingcupmill {

class GroupMonitor;
class WriteExecutor;

// The interactive transactions that this proxy has open in one group. Each is
// pinned to one connection to the primary from its begin to its end.
class TransactionTable {
 public:
  TransactionTable(Scheduler& scheduler,
                   GroupMonitor& monitor,
                   WriteExecutor& writes,
                   SeededRandom& random,
                   const GroupOptions& options);
  ~TransactionTable();
  TransactionTable(const TransactionTable&) = delete;
  TransactionTable& operator=(const TransactionTable&) = delete;

  void Begin(ClientRequest request, Reply reply);
  void Execute(ClientRequest request, Reply reply);
  void Commit(ClientRequest request, Reply reply);
  void Rollback(ClientRequest request, Reply reply);

  // Rolls back every transaction that has no statement in flight.
  void RollbackAll();

  // Rolls back transactions that have been idle for too long.
  void Tick();

  bool has(const TransactionId& id) const {
    return this->transactions.contains(id);
  }

  size_t open_count() const { return this->transactions.size(); }

 private:
  struct Transaction {
    ApplicationName application;
    RequestId request_id;
    PrimaryView primary;
    TargetPool::PinId pin = 0;
    bool is_busy = false;
    TimePoint last_used_at;
  };
  struct BeginFlow;
  using BeginPointer = std::shared_ptr<BeginFlow>;
  using Finisher = std::function<void(Transaction&, SubmitOutcome)>;

  void AttemptBegin(const BeginPointer& flow);
  void DidBegin(const BeginPointer& flow,
                const SubmitOutcome& outcome,
                TargetPool::PinId pin);
  // Finds the caller's transaction, or answers why it cannot be used.
  Transaction* Claim(const ClientRequest& request, const Reply& reply);
  void Run(const TransactionId& id,
           TimePoint deadline,
           TargetRequest request,
           Finisher finisher);
  void DidExecute(const TransactionId& id,
                  SubmitOutcome outcome,
                  const Reply& reply);
  void DidCommit(const TransactionId& id,
                 TimePoint deadline,
                 const SubmitOutcome& outcome,
                 const Reply& reply);
  void End(const TransactionId& id, TargetPool::UnpinMode mode);
  void Abandon(const TransactionId& id);

  Scheduler& scheduler;
  GroupMonitor& monitor;
  WriteExecutor& writes;
  SeededRandom& random;
  const GroupOptions& options;
  std::map<TransactionId, Transaction> transactions;
  LifeGuard life;
};

// Returns the VM that a transaction id names; empty when it names none.
VmName HomeOf(const TransactionId& id);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_TRANSACTION_TABLE_H_
