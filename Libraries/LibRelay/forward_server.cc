#include "LibRelay/forward_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibDispatch/dispatch_request.h"

namespace kingcupmill {

namespace {

// The querying proxy rolls back a transaction at the configured idle limit. The
// margin lets its RollbackQuery arrive before this proxy's own timer expires.
constexpr Duration kIdleMargin = std::chrono::milliseconds(400);
// The limit on the bytes of forwarded statements that are not answered yet.
// Each is held several times until its answer, and callers of all other proxies
// may send large statements at the same time. Only statements above the second
// size are refused for it, so ordinary ones are not affected by large ones.
constexpr size_t kMaximumRunningBytes = size_t{4} << 20U;
constexpr size_t kSmallStatementBytes = size_t{16} << 10U;

size_t SizeOf(const ForwardQuery& query) {
  const TargetCommand& command = query.command;
  size_t bytes = query.statement_id.size() + command.text.size() +
                 command.name.size() + command.value.size() +
                 command.shape.shape.size();
  for (const auto& [name, value] : query.values)
    bytes += name.size() + value.size();
  return bytes;
}

}  // namespace

struct ForwardServer::HeldTransaction {
  std::unique_ptr<CallerTransaction> transaction;
  uint64_t next_sequence = 0;
  Scheduler::TimerId timer = 0;
  // Sends the answer to the running statement; empty when none is running.
  PeerLinks::SendAnswer send_answer;
  TransactionStep step = TransactionStep::kRead;
};

ForwardServer::ForwardServer(Scheduler& scheduler,
                             FindHome find_home,
                             PrimarySilence primary_silence,
                             IdleLimit idle_limit)
    : scheduler(scheduler),
      find_home(std::move(find_home)),
      primary_silence(std::move(primary_silence)),
      idle_limit(std::move(idle_limit)) {}

ForwardServer::~ForwardServer() = default;

void ForwardServer::Handle(const ForwardQuery& query,
                           const PeerLinks::SendAnswer& send_answer) {
  RequestDispatcher* home = this->find_home(query.route.group);
  const size_t bytes = SizeOf(query);
  if (!home || this->transaction_by_name.contains(query.name))
    return send_answer(ForwardAnswer{});
  if (bytes > kSmallStatementBytes &&
      this->running_bytes + bytes > kMaximumRunningBytes) {
    ForwardAnswer refused;
    refused.is_accepted = true;
    refused.answer.error =
        StatementError{StatementErrorCode::kBusy,
                       "too many large statements; retry after 200 ms"};
    refused.primary_silence = this->primary_silence(query.route.group);
    return send_answer(refused);
  }
  auto session_context = std::make_shared<SessionContext>();
  for (const auto& [name, value] : query.values)
    session_context->Set(name, value);
  DispatchRequest request;
  request.route = query.route;
  request.customer = query.customer;
  request.customer_priority = query.customer_priority;
  request.customer_weight = query.customer_weight;
  request.command = query.command;
  request.statement_id = query.statement_id;
  request.needs_primary = query.needs_primary;
  request.is_write = query.is_write;
  request.opens_transaction = query.opens_transaction;
  request.session_context = std::move(session_context);
  request.session_point = query.session_point;
  // Clocks of different VMs are not compared, so the network delay of the query
  // is not counted.
  request.received_at = this->scheduler.Now() - query.waited;
  const uint64_t number = this->next_number++;
  this->running_by_number.emplace(
      number, RunningStatement{query.is_write, send_answer, bytes});
  this->running_bytes += bytes;
  home->Submit(
      std::move(request),
      this->life.Wrap([this, number, name = query.name,
                       group = query.route.group](DispatchOutcome outcome) {
        this->DidFinish(number, name, group, std::move(outcome));
      }));
}

void ForwardServer::DidFinish(uint64_t number,
                              const std::string& name,
                              const GroupName& group,
                              DispatchOutcome outcome) {
  const auto finished = this->running_by_number.extract(number);
  // FailOutstanding() has answered it.
  if (finished.empty())
    return;
  this->running_bytes -= finished.mapped().bytes;
  ForwardAnswer forwarded;
  forwarded.is_accepted = true;
  forwarded.answer = std::move(outcome.answer);
  forwarded.is_open = outcome.transaction != nullptr;
  forwarded.primary_silence = this->primary_silence(group);
  if (outcome.transaction) {
    auto held = std::make_shared<HeldTransaction>();
    held->transaction = std::move(outcome.transaction);
    this->transaction_by_name.emplace(name, held);
    this->RestartTimer(name, held);
  }
  finished.mapped().send_answer(forwarded);
}

void ForwardServer::Handle(const ContinueQuery& query,
                           const PeerLinks::SendAnswer& send_answer) {
  const auto found = this->transaction_by_name.find(query.name);
  const bool is_next = found != this->transaction_by_name.end() &&
                       !found->second->send_answer &&
                       found->second->next_sequence == query.sequence;
  if (!is_next) {
    this->EndTransaction(query.name);
    return send_answer(ContinueAnswer{});
  }
  const HeldTransactionPointer held = found->second;
  ++held->next_sequence;
  held->send_answer = send_answer;
  held->step = query.step;
  this->scheduler.Cancel(held->timer);
  SessionContext session_context;
  for (const auto& [name, value] : query.values)
    session_context.Set(name, value);
  held->transaction->Run(session_context, query.command, query.step,
                         this->life.Wrap([this, name = query.name,
                                          held](StatementAnswer answered) {
                           this->DidContinue(name, held, std::move(answered));
                         }));
}

void ForwardServer::DidContinue(const std::string& name,
                                const HeldTransactionPointer& held,
                                StatementAnswer answered) {
  const PeerLinks::SendAnswer send_answer =
      std::exchange(held->send_answer, nullptr);
  // FailOutstanding() has answered it.
  if (!send_answer)
    return;
  const bool is_over =
      held->step == TransactionStep::kCommit || answered.error.has_value();
  ContinueAnswer continued;
  continued.is_known = true;
  continued.answer = std::move(answered);
  if (held->transaction)
    continued.committed = held->transaction->committed_point();
  if (is_over)
    this->EndTransaction(name);
  else
    this->RestartTimer(name, held);
  send_answer(continued);
}

void ForwardServer::Handle(const RollbackQuery& query,
                           const PeerLinks::SendAnswer& send_answer) {
  this->EndTransaction(query.name);
  send_answer(RollbackAnswer{});
}

void ForwardServer::RestartTimer(const std::string& name,
                                 const HeldTransactionPointer& held) {
  if (held->timer != 0)
    this->scheduler.Cancel(held->timer);
  held->timer = this->scheduler.PostAfter(
      this->idle_limit() + kIdleMargin,
      this->life.Wrap([this, name] { this->EndTransaction(name); }));
}

void ForwardServer::RollBackIdle() {
  std::vector<std::string> idle;
  for (const auto& [name, held] : this->transaction_by_name) {
    if (!held->send_answer)
      idle.push_back(name);
  }
  for (const std::string& name : idle)
    this->EndTransaction(name);
}

void ForwardServer::FailOutstanding() {
  this->running_bytes = 0;
  for (const auto& [number, statement] :
       std::exchange(this->running_by_number, {})) {
    ForwardAnswer failed;
    failed.is_accepted = statement.is_write;
    if (statement.is_write)
      failed.answer.error =
          StatementError{StatementErrorCode::kInDoubt,
                         "the home ended before the answer came"};
    statement.send_answer(failed);
  }
  // Only a commit makes changes of a transaction durable, so only its outcome
  // can be in doubt. Ending a transaction changes the map: a copy is iterated.
  const std::map<std::string, HeldTransactionPointer> held_transactions =
      this->transaction_by_name;
  for (const auto& [name, held] : held_transactions) {
    StatementAnswer failed;
    failed.state = SessionState::kFailedTransaction;
    const bool is_commit = held->step == TransactionStep::kCommit;
    failed.error = StatementError{
        is_commit ? StatementErrorCode::kInDoubt : StatementErrorCode::kAborted,
        "the home ended before the answer came"};
    if (is_commit)
      failed.state = SessionState::kIdle;
    if (held->send_answer)
      this->DidContinue(name, held, std::move(failed));
    else
      this->EndTransaction(name);
  }
}

void ForwardServer::EndTransaction(const std::string& name) {
  auto ended = this->transaction_by_name.extract(name);
  if (ended.empty())
    return;
  this->scheduler.Cancel(ended.mapped()->timer);
  // Destroying the transaction calls its observers, which may destroy this
  // object: no member is used afterwards.
  const std::unique_ptr<CallerTransaction> transaction =
      std::move(ended.mapped()->transaction);
}

}  // namespace kingcupmill
