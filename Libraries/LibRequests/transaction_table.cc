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

// A transaction has no statement of its own, so its ledger digest is that of
// its id: a request id that was used for anything else does not match.
uint64_t DigestOfTransaction(const TransactionId& id) {
  return DigestOf(Statement{"transaction", {id.value}});
}

ClientAnswer Ran(const PrimaryView& primary) {
  ClientAnswer answer;
  answer.outcome = Outcome::kRan;
  answer.target = primary.target;
  answer.is_from_primary = true;
  return answer;
}

}  // namespace

VmName HomeOf(const TransactionId& id) {
  const size_t separator = id.value.find(kIdSeparator);
  if (separator == std::string::npos)
    return VmName{};
  return VmName{id.value.substr(0, separator)};
}

struct TransactionTable::BeginFlow {
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
  auto flow = std::make_shared<BeginFlow>();
  flow->deadline = this->scheduler.Now() + request.time_left;
  flow->request = std::move(request);
  flow->reply = std::move(reply);
  this->AttemptBegin(flow);
}

void TransactionTable::AttemptBegin(const BeginPointer& flow) {
  const TimePoint now = this->scheduler.Now();
  if (now >= flow->deadline) {
    return flow->reply(NotRun(ClientError::kUnavailable,
                              "no primary was free before the deadline"));
  }
  const auto primary =
      WriteAdmission(this->options.admission).Admit(now, this->monitor.view());
  if (!primary) {
    this->scheduler.PostAfter(kBeginRetryDelay, this->life.Wrap([this, flow] {
      this->AttemptBegin(flow);
    }));
    return;
  }
  flow->primary = *primary;
  TargetPool::Work work;
  work.request.operation = TargetOperation::kBegin;
  work.request.term = primary->term;
  work.pin_policy = PinPolicy::kPin;
  work.did_finish = [this, flow](const SubmitOutcome& outcome,
                                 TargetPool::PinId pin) {
    this->DidBegin(flow, outcome, pin);
  };
  this->monitor.pool(primary->target)
      .Submit(flow->request.application, flow->request.priority, flow->deadline,
              std::move(work));
}

void TransactionTable::DidBegin(const BeginPointer& flow,
                                const SubmitOutcome& outcome,
                                TargetPool::PinId pin) {
  const auto* response = std::get_if<TargetResponse>(&outcome);
  if (!response || response->error != TargetErrorCode::kNone) {
    // A begin has no effect until its commit, so a lost one did not run.
    return flow->reply(NotRun(ClientError::kUnavailable,
                              response ? ToString(response->error)
                                       : "no connection was free in time"));
  }
  const TransactionId id{this->options.vm.value + kIdSeparator +
                         std::to_string(this->random.Below(UINT64_MAX)) +
                         std::to_string(pin)};
  Transaction& transaction = this->transactions[id];
  transaction.application = flow->request.application;
  transaction.request_id = flow->request.request_id;
  transaction.primary = flow->primary;
  transaction.pin = pin;
  transaction.last_used_at = this->scheduler.Now();
  ClientAnswer answer = Ran(flow->primary);
  answer.transaction = id;
  answer.request_id = flow->request.request_id;
  flow->reply(std::move(answer));
}

TransactionTable::Transaction* TransactionTable::Claim(
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

void TransactionTable::Run(const TransactionId& id,
                           TimePoint deadline,
                           TargetRequest request,
                           Finisher finisher) {
  Transaction& transaction = this->transactions.at(id);
  transaction.is_busy = true;
  TargetPool::Work work;
  work.request = std::move(request);
  work.request.term = transaction.primary.term;
  work.did_finish = [this, id, finisher = std::move(finisher)](
                        SubmitOutcome outcome, TargetPool::PinId) {
    Transaction& finished = this->transactions.at(id);
    finished.is_busy = false;
    finished.last_used_at = this->scheduler.Now();
    finisher(finished, std::move(outcome));
  };
  this->monitor.pool(transaction.primary.target)
      .SubmitPinned(transaction.pin, deadline, std::move(work));
}

void TransactionTable::Execute(ClientRequest request, Reply reply) {
  if (!this->Claim(request, reply))
    return;
  TargetRequest statement;
  statement.operation = TargetOperation::kExecute;
  statement.statements = {std::move(request.statement)};
  const TransactionId id = request.transaction;
  this->Run(id, this->scheduler.Now() + request.time_left, std::move(statement),
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
    ClientAnswer answer = Ran(this->transactions.at(id).primary);
    answer.transaction = id;
    answer.result = std::move(response->results.front());
    return reply(std::move(answer));
  }
  // Nothing of the transaction can take effect without its commit, which has
  // not been sent.
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
  const Transaction* transaction = this->Claim(request, reply);
  if (!transaction)
    return;
  const TransactionId id = request.transaction;
  const TimePoint deadline = this->scheduler.Now() + request.time_left;
  TargetRequest commit;
  commit.operation = TargetOperation::kCommit;
  commit.acknowledge = this->options.acknowledge;
  commit.statements = {
      LedgerRecord(transaction->request_id, DigestOfTransaction(id))};
  this->Run(id, deadline, std::move(commit),
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
    return this->writes.SettleCommit(ended.request_id, DigestOfTransaction(id),
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
    answer = Ran(ended.primary);
    answer.point = response->point;
  }
  answer.request_id = ended.request_id;
  reply(std::move(answer));
}

void TransactionTable::Rollback(ClientRequest request, Reply reply) {
  const Transaction* transaction = this->Claim(request, reply);
  if (!transaction)
    return;
  const PrimaryView primary = transaction->primary;
  this->Abandon(request.transaction);
  reply(Ran(primary));
}

void TransactionTable::RollbackAll() {
  std::vector<TransactionId> idle;
  for (const auto& [id, transaction] : this->transactions) {
    if (!transaction.is_busy)
      idle.push_back(id);
  }
  for (const TransactionId& id : idle)
    this->Abandon(id);
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
    this->Abandon(id);
}

void TransactionTable::Abandon(const TransactionId& id) {
  // Closing the connection is the rollback that cannot get lost on the way.
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
