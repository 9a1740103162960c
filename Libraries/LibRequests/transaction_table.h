#ifndef LIBREQUESTS_TRANSACTION_TABLE_H_
#define LIBREQUESTS_TRANSACTION_TABLE_H_

#include <map>
#include <memory>
#include <string>

#include "LibCore/lifetime_guard.h"
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

// The interactive transactions of one group that are open on this proxy. Each
// transaction has a pinned connection to the primary until it ends.
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

  // Run a request of the operation of the same name. Execute() rolls the
  // transaction back when its statement fails.
  void Begin(ClientRequest request, Reply reply);
  void Execute(ClientRequest request, Reply reply);
  void Commit(ClientRequest request, Reply reply);
  void Rollback(ClientRequest request, Reply reply);

  // Rolls back each transaction that has no statement in flight.
  void RollbackAll();

  // Rolls back the transactions that have been idle for longer than
  // GroupOptions::transaction_idle_limit. Call it regularly.
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
  struct PendingBegin;
  using PendingBeginPointer = std::shared_ptr<PendingBegin>;
  using OutcomeHandler = std::function<void(Transaction&, SubmitOutcome)>;

  void AttemptBegin(const PendingBeginPointer& begin);
  void DidBegin(const PendingBeginPointer& begin,
                const SubmitOutcome& outcome,
                TargetPool::PinId pin);
  // Returns the transaction of `request`. When the client has no such
  // transaction or it is busy, calls `reply` with the error and returns
  // nullptr.
  Transaction* FindIdle(const ClientRequest& request, const Reply& reply);
  void Submit(const TransactionId& id,
              TimePoint deadline,
              TargetRequest request,
              OutcomeHandler handler);
  void DidExecute(const TransactionId& id,
                  SubmitOutcome outcome,
                  const Reply& reply);
  void DidCommit(const TransactionId& id,
                 TimePoint deadline,
                 const SubmitOutcome& outcome,
                 const Reply& reply);
  void End(const TransactionId& id, TargetPool::UnpinMode mode);
  void RollBack(const TransactionId& id);

  Scheduler& scheduler;
  GroupMonitor& monitor;
  WriteExecutor& writes;
  SeededRandom& random;
  const GroupOptions& options;
  std::map<TransactionId, Transaction> transactions;
  LifetimeGuard life;
};

// Returns the VM of the proxy that began a transaction, as encoded in the
// transaction's id. Returns an empty name when the id is malformed.
VmName VmOf(const TransactionId& id);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_TRANSACTION_TABLE_H_
