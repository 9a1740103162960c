#include "LibRequests/transaction_table.h"

#include <utility>
#include <vector>

#include "LibRequests/group_monitor.h"
#include "LibRequests/request_ledger.h"
#include "LibRequests/write_executor.h"

namespace kingcupmill {

namespace {

constexpr Duration kBeginRetryDelay = std::chrono::milliseconds(5);
constexpr char kIdSeparator = '~';

// Returns the ledger digest of a transaction. It is computed from the
// transaction's id, because the transaction has no single statement. It differs
// from the digest of any other request that used the same request id.
uint64_t DigestOfTransaction(const TransactionId& id) {
  return DigestOf(Statement{"transaction", {id.value}});
}

ClientAnswer MakeRanAnswer(const PrimaryView& primary) {
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  answer.target = primary.target;
  answer.is_from_primary = true;
  return answer;
}

}  // namespace

VmName VmOf(const TransactionId& id) {
  const size_t separator = id.value.find(kIdSeparator);
  if (separator == std::string::npos)
    return VmName{};
  return VmName{id.value.substr(0, separator)};
}

struct TransactionTable::PendingBegin {
  ClientRequest request;
  TimePoint deadline;
  Reply reply;
  PrimaryView primary;
};

TransactionTable::TransactionTable(Scheduler& scheduler,
                                   GroupMonitor& monitor,
                                   WriteExecutor& writes,
                                   SeededRandom& random,
                                   const GroupOptions& options)
    : scheduler(scheduler),
      monitor(monitor),
      writes(writes),
      random(random),
      options(options) {}

TransactionTable::~TransactionTable() = default;

void TransactionTable::Begin(ClientRequest request, Reply reply) {
  auto begin = std::make_shared<PendingBegin>();
  begin->deadline = this->scheduler.Now() + request.time_left;
  begin->request = std::move(request);
  begin->reply = std::move(reply);
  this->AttemptBegin(begin);
}

void TransactionTable::AttemptBegin(const PendingBeginPointer& begin) {
  const TimePoint now = this->scheduler.Now();
  if (now >= begin->deadline) {
    return begin->reply(NotRun(ClientError::kUnavailable,
                               "no primary was free before the deadline"));
  }
  const auto primary =
      WriteAdmission(this->options.admission).Admit(now, this->monitor.view());
  if (!primary) {
    this->scheduler.PostAfter(kBeginRetryDelay, this->life.Wrap([this, begin] {
      this->AttemptBegin(begin);
    }));
    return;
  }
  begin->primary = *primary;
  TargetPool::Work work;
  work.request.operation = TargetOperation::kBegin;
  work.request.term = primary->term;
  work.pin_policy = PinPolicy::kPin;
  work.did_finish = [this, begin](const SubmitOutcome& outcome,
                                  TargetPool::PinId pin) {
    this->DidBegin(begin, outcome, pin);
  };
  this->monitor.pool(primary->target)
      .Submit(begin->request.application, begin->request.priority,
              begin->deadline, std::move(work));
}

void TransactionTable::DidBegin(const PendingBeginPointer& begin,
                                const SubmitOutcome& outcome,
                                TargetPool::PinId pin) {
  const auto* response = std::get_if<TargetResponse>(&outcome);
  if (!response || response->error != TargetErrorCode::kNone) {
    // A transaction has no effect before its commit, so a lost begin did not
    // run.
    return begin->reply(NotRun(ClientError::kUnavailable,
                               response ? ToString(response->error)
                                        : "no connection was free in time"));
  }
  const TransactionId id{this->options.vm.value + kIdSeparator +
                         std::to_string(this->random.Below(UINT64_MAX)) +
                         std::to_string(pin)};
  Transaction& transaction = this->transactions[id];
  transaction.application = begin->request.application;
  transaction.request_id = begin->request.request_id;
  transaction.primary = begin->primary;
  transaction.pin = pin;
  transaction.last_used_at = this->scheduler.Now();
  ClientAnswer answer = MakeRanAnswer(begin->primary);
  answer.transaction = id;
  answer.request_id = begin->request.request_id;
  begin->reply(std::move(answer));
}

TransactionTable::Transaction* TransactionTable::FindIdle(
    const ClientRequest& request,
    const Reply& reply) {
  const auto found = this->transactions.find(request.transaction);
  if (found == this->transactions.end() ||
      found->second.application != request.application) {
    reply(NotRun(ClientError::kNoSuchTransaction,
                 "the transaction has ended or never existed"));
    return nullptr;
  }
  if (found->second.is_busy) {
    reply(NotRun(ClientError::kTransactionBusy,
                 "an earlier statement of the transaction is running"));
    return nullptr;
  }
  return &found->second;
}

void TransactionTable::Submit(const TransactionId& id,
                              TimePoint deadline,
                              TargetRequest request,
                              OutcomeHandler handler) {
  Transaction& transaction = this->transactions.at(id);
  transaction.is_busy = true;
  TargetPool::Work work;
  work.request = std::move(request);
  work.request.term = transaction.primary.term;
  work.did_finish = [this, id, handler = std::move(handler)](
                        SubmitOutcome outcome, TargetPool::PinId) {
    Transaction& finished = this->transactions.at(id);
    finished.is_busy = false;
    finished.last_used_at = this->scheduler.Now();
    handler(finished, std::move(outcome));
  };
  this->monitor.pool(transaction.primary.target)
      .SubmitPinned(transaction.pin, deadline, std::move(work));
}

void TransactionTable::Execute(ClientRequest request, Reply reply) {
  if (!this->FindIdle(request, reply))
    return;
  TargetRequest statement;
  statement.operation = TargetOperation::kExecute;
  statement.statements = {std::move(request.statement)};
  const TransactionId id = request.transaction;
  this->Submit(id, this->scheduler.Now() + request.time_left,
               std::move(statement),
               [this, id, reply = std::move(reply)](Transaction&,
                                                    SubmitOutcome outcome) {
                 this->DidExecute(id, std::move(outcome), reply);
               });
}

void TransactionTable::DidExecute(const TransactionId& id,
                                  SubmitOutcome outcome,
                                  const Reply& reply) {
  auto* response = std::get_if<TargetResponse>(&outcome);
  if (response && response->error == TargetErrorCode::kNone) {
    ClientAnswer answer = MakeRanAnswer(this->transactions.at(id).primary);
    answer.transaction = id;
    answer.result = std::move(response->results.front());
    return reply(std::move(answer));
  }
  // The commit has not been sent, so the transaction has had no effect.
  if (!response) {
    this->End(id, TargetPool::UnpinMode::kClose);
    return reply(NotRun(ClientError::kUnavailable,
                        "the transaction lost its connection and was rolled "
                        "back"));
  }
  this->End(id, TargetPool::UnpinMode::kReuse);
  const bool is_lost = response->error == TargetErrorCode::kTransactionLost;
  reply(
      NotRun(is_lost ? ClientError::kNoSuchTransaction : ClientError::kSqlError,
             response->message + "; the transaction was rolled back"));
}

void TransactionTable::Commit(ClientRequest request, Reply reply) {
  const Transaction* transaction = this->FindIdle(request, reply);
  if (!transaction)
    return;
  const TransactionId id = request.transaction;
  const TimePoint deadline = this->scheduler.Now() + request.time_left;
  TargetRequest commit;
  commit.operation = TargetOperation::kCommit;
  commit.acknowledge = this->options.acknowledge;
  commit.statements = {
      LedgerRecord(transaction->request_id, DigestOfTransaction(id))};
  this->Submit(id, deadline, std::move(commit),
               [this, id, deadline, reply = std::move(reply)](
                   Transaction&, const SubmitOutcome& outcome) {
                 this->DidCommit(id, deadline, outcome, reply);
               });
}

void TransactionTable::DidCommit(const TransactionId& id,
                                 TimePoint deadline,
                                 const SubmitOutcome& outcome,
                                 const Reply& reply) {
  const Transaction ended = this->transactions.at(id);
  const auto* response = std::get_if<TargetResponse>(&outcome);
  const auto* failure = std::get_if<SubmitFailure>(&outcome);
  const bool is_lost = failure && *failure == SubmitFailure::kLost;
  this->End(id, is_lost ? TargetPool::UnpinMode::kClose
                        : TargetPool::UnpinMode::kReuse);
  if (is_lost || (response && response->error == TargetErrorCode::kUnconfirmed))
    return this->writes.ResolveCommit(ended.request_id, DigestOfTransaction(id),
                                      deadline, ended.application, reply);
  ClientAnswer answer;
  if (!response) {
    answer = NotRun(ClientError::kUnavailable,
                    "the transaction lost its connection and was rolled back");
  } else if (response->error == TargetErrorCode::kConstraint) {
    answer = NotRun(ClientError::kRequestIdReused,
                    "the request id was used before; the transaction was "
                    "rolled back");
  } else if (response->error != TargetErrorCode::kNone) {
    answer = NotRun(ClientError::kNoSuchTransaction,
                    "the transaction was rolled back by the database");
  } else {
    answer = MakeRanAnswer(ended.primary);
    answer.point = response->point;
  }
  answer.request_id = ended.request_id;
  reply(std::move(answer));
}

void TransactionTable::Rollback(ClientRequest request, Reply reply) {
  const Transaction* transaction = this->FindIdle(request, reply);
  if (!transaction)
    return;
  const PrimaryView primary = transaction->primary;
  this->RollBack(request.transaction);
  reply(MakeRanAnswer(primary));
}

void TransactionTable::RollbackAll() {
  std::vector<TransactionId> idle;
  for (const auto& [id, transaction] : this->transactions) {
    if (!transaction.is_busy)
      idle.push_back(id);
  }
  for (const TransactionId& id : idle)
    this->RollBack(id);
}

void TransactionTable::Tick() {
  const TimePoint now = this->scheduler.Now();
  std::vector<TransactionId> expired;
  for (const auto& [id, transaction] : this->transactions) {
    const Duration idle = now - transaction.last_used_at;
    if (!transaction.is_busy && idle > this->options.transaction_idle_limit)
      expired.push_back(id);
  }
  for (const TransactionId& id : expired)
    this->RollBack(id);
}

void TransactionTable::RollBack(const TransactionId& id) {
  // The connection is closed, because a rollback request could be lost on the
  // way.
  this->End(id, TargetPool::UnpinMode::kClose);
}

void TransactionTable::End(const TransactionId& id,
                           TargetPool::UnpinMode mode) {
  auto ended = this->transactions.extract(id);
  if (ended.empty())
    return;
  this->monitor.pool(ended.mapped().primary.target)
      .Unpin(ended.mapped().pin, mode);
}

}  // namespace kingcupmill
