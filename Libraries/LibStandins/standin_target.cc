#include "LibStandins/standin_target.h"

#include <algorithm>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

StandinTarget::StandinTarget(Scheduler& scheduler,
                             StandinNetwork& network,
                             Options options)
    : scheduler(scheduler),
      options(std::move(options)),
      replica(scheduler, network, this->options.member) {
  this->replica.SetDidChange([this] { this->MemberDidChange(); });
  this->CloseIdleClients();
}

std::optional<StandinTarget::ConnectionId> StandinTarget::Open(
    Reply reply,
    DidClose did_close) {
  if (!this->replica.is_running())
    return std::nullopt;
  const ConnectionId id = this->next_connection++;
  Client client;
  client.reply = std::move(reply);
  client.did_close = std::move(did_close);
  client.last_request_at = this->scheduler.Now();
  this->clients.emplace(id, std::move(client));
  return id;
}

void StandinTarget::Close(ConnectionId connection) {
  const auto client = this->clients.find(connection);
  if (client == this->clients.end())
    return;
  if (client->second.is_counted)
    --this->used_connections;
  this->clients.erase(client);
  if (this->transaction && this->transaction->connection == connection) {
    this->RollBackTransaction();
    this->RetryLockWaiters();
  }
}

void StandinTarget::Receive(ConnectionId connection, TargetRequest request) {
  const auto client = this->clients.find(connection);
  if (client == this->clients.end() || client->second.is_silent)
    return;
  client->second.last_request_at = this->scheduler.Now();
  switch (request.operation) {
    case TargetOperation::kHello:
      return this->DidReceiveHello(connection, request);
    case TargetOperation::kStatus:
      return this->AnswerStatus(connection, request);
    case TargetOperation::kSeal:
      if (!this->replica.Seal(request.term, request.proposer)) {
        return this->AnswerError(connection, request,
                                 TargetErrorCode::kTermSuperseded);
      }
      return this->AnswerStatus(connection, request);
    case TargetOperation::kLead:
      if (!this->replica.Lead(request.term, request.proposer,
                              std::move(request.statements))) {
        return this->AnswerError(connection, request,
                                 TargetErrorCode::kTermSuperseded);
      }
      return this->AnswerStatus(connection, request);
    case TargetOperation::kHoldWrites:
      return this->DidReceiveHold(connection, request);
    case TargetOperation::kRead:
      return this->DidReceiveRead(connection, std::move(request));
    case TargetOperation::kWrite:
    case TargetOperation::kBegin:
      return this->DidReceiveWrite(connection, std::move(request));
    case TargetOperation::kExecute:
    case TargetOperation::kCommit:
    case TargetOperation::kRollback:
      return this->DidReceiveInTransaction(connection, std::move(request));
  }
}

void StandinTarget::DidReceiveHello(ConnectionId connection,
                                    const TargetRequest& request) {
  Client& client = this->clients.at(connection);
  if (!client.is_counted) {
    if (this->used_connections >= this->options.connection_cap) {
      ++this->counts.refused_connections;
      return this->AnswerError(connection, request,
                               TargetErrorCode::kTooManyConnections);
    }
    client.is_counted = true;
    ++this->used_connections;
    this->counts.peak_connections =
        std::max(this->counts.peak_connections, this->used_connections);
  }
  this->scheduler.PostAfter(
      this->options.connect_time,
      [this, connection, request] { this->AnswerStatus(connection, request); });
}

void StandinTarget::DidReceiveHold(ConnectionId connection,
                                   const TargetRequest& request) {
  if (!this->replica.is_leading(request.term)) {
    return this->AnswerError(connection, request, TargetErrorCode::kNotPrimary);
  }
  this->writes_held_until = this->scheduler.Now() + request.wait;
  this->AnswerStatus(connection, request);
}

void StandinTarget::DidReceiveRead(ConnectionId connection,
                                   TargetRequest request) {
  if (request.statements.size() != 1) {
    return this->AnswerError(connection, request, TargetErrorCode::kMalformed,
                             "a read takes one statement");
  }
  if (this->replica.status().visible >= request.minimum_position) {
    return this->Enqueue([this, connection, request = std::move(request)] {
      this->RunRead(connection, request);
    });
  }
  if (request.wait <= Duration(0))
    return this->AnswerError(connection, request, TargetErrorCode::kBehind);
  WaitingRequest waiting{connection, std::move(request), TimePoint{}};
  waiting.deadline = this->scheduler.Now() + waiting.request.wait;
  this->scheduler.PostAfter(waiting.request.wait,
                            [this] { this->ExpireWaiters(); });
  this->position_waiters.push_back(std::move(waiting));
}

void StandinTarget::DidReceiveWrite(ConnectionId connection,
                                    TargetRequest request) {
  if (const auto refusal = this->RefusalForWrite(request))
    return this->AnswerError(connection, request, *refusal);
  if (this->transaction) {
    if (this->transaction->connection == connection) {
      return this->AnswerError(connection, request, TargetErrorCode::kMalformed,
                               "a transaction is open on this connection");
    }
    this->lock_waiters.push_back(
        {connection, std::move(request),
         this->scheduler.Now() + this->options.lock_timeout});
    this->scheduler.PostAfter(this->options.lock_timeout,
                              [this] { this->ExpireWaiters(); });
    return;
  }
  const bool is_begin = request.operation == TargetOperation::kBegin;
  if (is_begin) {
    // The lock is taken before the request waits for a slot, so that no other
    // write can run in between.
    this->transaction = Transaction{connection, request.term, {}};
    this->replica.working_database().Begin();
  }
  this->Enqueue([this, connection, is_begin, request = std::move(request)] {
    if (is_begin)
      this->RunBegin(connection, request);
    else
      this->RunWrite(connection, request);
  });
}

void StandinTarget::DidReceiveInTransaction(ConnectionId connection,
                                            TargetRequest request) {
  this->Enqueue([this, connection, request = std::move(request)] {
    if (!this->transaction || this->transaction->connection != connection) {
      return this->AnswerError(connection, request,
                               TargetErrorCode::kTransactionLost,
                               "no transaction is open on this connection");
    }
    if (request.operation == TargetOperation::kExecute)
      return this->RunExecute(connection, request);
    if (request.operation == TargetOperation::kCommit)
      return this->RunCommit(connection, request);
    this->RunRollback(connection, request);
  });
}

void StandinTarget::Enqueue(std::function<void()> task) {
  this->queue.push_back(std::move(task));
  this->RunQueued();
}

void StandinTarget::RunQueued() {
  while (this->used_slots < this->options.slots && !this->queue.empty()) {
    ++this->used_slots;
    auto task = std::move(this->queue.front());
    this->queue.pop_front();
    this->scheduler.PostAfter(
        this->options.service_time,
        [this, task = std::move(task), incarnation = this->incarnation] {
          if (incarnation != this->incarnation)
            return;
          --this->used_slots;
          task();
          this->RunQueued();
        });
  }
}

void StandinTarget::RunRead(ConnectionId connection,
                            const TargetRequest& request) {
  ++this->counts.reads;
  TargetResponse response;
  response.number = request.number;
  response.status = this->replica.status();
  response.point.position = response.status.visible;
  response.point.term = response.status.term;
  auto outcome = this->replica.visible_database().Execute(
      request.statements.front(), Access::kRead);
  if (auto* failure = std::get_if<SqlFailure>(&outcome)) {
    const bool is_write = failure->kind == SqlFailure::Kind::kNotReadOnly;
    return this->AnswerError(
        connection, request,
        is_write ? TargetErrorCode::kNotReadOnly : TargetErrorCode::kSqlError,
        failure->message);
  }
  response.results.push_back(std::get<ResultSet>(std::move(outcome)));
  this->Answer(connection, std::move(response));
}

void StandinTarget::RunWrite(ConnectionId connection,
                             const TargetRequest& request) {
  // The term, the lock and the connection may have changed while the request
  // was queued.
  if (!this->clients.contains(connection))
    return;
  if (const auto refusal = this->RefusalForWrite(request))
    return this->AnswerError(connection, request, *refusal);
  if (this->transaction)
    return this->DidReceiveWrite(connection, request);
  TargetResponse response;
  std::vector<Statement> executed;
  this->replica.working_database().Begin();
  if (!this->RunStatements(request, response, executed)) {
    this->replica.working_database().Rollback();
    return this->Answer(connection, std::move(response));
  }
  this->replica.working_database().Commit();
  this->FinishCommit(connection, request, std::move(response),
                     std::move(executed));
}

void StandinTarget::RunBegin(ConnectionId connection,
                             const TargetRequest& request) {
  if (!this->transaction || this->transaction->connection != connection) {
    return this->AnswerError(connection, request,
                             TargetErrorCode::kTermSuperseded);
  }
  // No other transaction can commit while this one holds the lock, so once the
  // last entry is confirmed, this transaction reads only confirmed data.
  TargetResponse response;
  response.number = request.number;
  response.status = this->replica.status();
  response.point = response.status.last_entry;
  if (response.status.confirmed >= response.point)
    return this->Answer(connection, std::move(response));
  this->unconfirmed.push_back({connection, std::move(response)});
}

void StandinTarget::RunExecute(ConnectionId connection,
                               const TargetRequest& request) {
  TargetResponse response;
  std::vector<Statement> executed;
  if (!this->RunStatements(request, response, executed)) {
    // A failed statement rolls the transaction back, so that the caller cannot
    // commit a part of it.
    this->RollBackTransaction();
    this->Answer(connection, std::move(response));
    return this->RetryLockWaiters();
  }
  auto& statements = this->transaction->statements;
  statements.insert(statements.end(), executed.begin(), executed.end());
  this->Answer(connection, std::move(response));
}

void StandinTarget::RunCommit(ConnectionId connection,
                              const TargetRequest& request) {
  TargetResponse response;
  std::vector<Statement> executed;
  if (!this->RunStatements(request, response, executed)) {
    this->RollBackTransaction();
    this->Answer(connection, std::move(response));
    return this->RetryLockWaiters();
  }
  std::vector<Statement> all = std::move(this->transaction->statements);
  all.insert(all.end(), executed.begin(), executed.end());
  this->transaction.reset();
  this->replica.working_database().Commit();
  this->FinishCommit(connection, request, std::move(response), std::move(all));
  this->RetryLockWaiters();
}

void StandinTarget::RunRollback(ConnectionId connection,
                                const TargetRequest& request) {
  this->RollBackTransaction();
  this->AnswerStatus(connection, request);
  this->RetryLockWaiters();
}

bool StandinTarget::RunStatements(const TargetRequest& request,
                                  TargetResponse& response,
                                  std::vector<Statement>& executed) {
  response.number = request.number;
  for (const Statement& statement : request.statements) {
    auto outcome =
        this->replica.working_database().Execute(statement, Access::kWrite);
    if (auto* failure = std::get_if<SqlFailure>(&outcome)) {
      const bool is_constraint = failure->kind == SqlFailure::Kind::kConstraint;
      response.error = is_constraint ? TargetErrorCode::kConstraint
                                     : TargetErrorCode::kSqlError;
      response.message = failure->message;
      response.failed_statement = static_cast<int64_t>(response.results.size());
      response.status = this->replica.status();
      return false;
    }
    response.results.push_back(std::get<ResultSet>(std::move(outcome)));
    executed.push_back(statement);
  }
  return true;
}

void StandinTarget::FinishCommit(ConnectionId connection,
                                 const TargetRequest& request,
                                 TargetResponse response,
                                 std::vector<Statement> executed) {
  ++this->counts.writes;
  response.point = this->replica.Append(std::move(executed));
  response.status = this->replica.status();
  if (request.acknowledge == Acknowledge::kPrimary ||
      response.status.confirmed.position >= response.point.position) {
    return this->Answer(connection, std::move(response));
  }
  this->unconfirmed.push_back({connection, std::move(response)});
}

std::optional<TargetErrorCode> StandinTarget::RefusalForWrite(
    const TargetRequest& request) const {
  const TargetStatus status = this->replica.status();
  if (request.term < status.term)
    return TargetErrorCode::kTermSuperseded;
  if (!this->replica.is_leading(request.term))
    return TargetErrorCode::kNotPrimary;
  if (this->scheduler.Now() < this->writes_held_until)
    return TargetErrorCode::kWritesHeld;
  return std::nullopt;
}

void StandinTarget::Answer(ConnectionId connection, TargetResponse response) {
  const auto client = this->clients.find(connection);
  if (client == this->clients.end() || client->second.is_silent)
    return;
  client->second.reply(std::move(response));
}

void StandinTarget::AnswerError(ConnectionId connection,
                                const TargetRequest& request,
                                TargetErrorCode error,
                                std::string message) {
  TargetResponse response;
  response.number = request.number;
  response.error = error;
  response.message = std::move(message);
  response.status = this->replica.status();
  this->Answer(connection, std::move(response));
}

void StandinTarget::AnswerStatus(ConnectionId connection,
                                 const TargetRequest& request) {
  this->AnswerError(connection, request, TargetErrorCode::kNone);
}

void StandinTarget::MemberDidChange() {
  const TargetStatus status = this->replica.status();
  const bool is_primary = status.role == TargetRole::kPrimary;
  if (this->transaction &&
      (!is_primary || this->transaction->term != status.term)) {
    this->RollBackTransaction();
  }
  while (!this->unconfirmed.empty()) {
    UnconfirmedAnswer& first = this->unconfirmed.front();
    const bool is_of_this_term =
        is_primary && first.response.point.term == status.term;
    const bool is_confirmed =
        is_of_this_term &&
        first.response.point.position <= status.confirmed.position;
    if (is_of_this_term && !is_confirmed)
      break;
    if (!is_confirmed)
      first.response.error = TargetErrorCode::kUnconfirmed;
    first.response.status = status;
    UnconfirmedAnswer finished = std::move(first);
    this->unconfirmed.pop_front();
    this->Answer(finished.connection, std::move(finished.response));
  }
  this->RetryLockWaiters();
  this->RetryPositionWaiters();
}

void StandinTarget::RollBackTransaction() {
  if (!this->transaction)
    return;
  this->transaction.reset();
  this->replica.working_database().Rollback();
}

void StandinTarget::RetryLockWaiters() {
  std::deque<WaitingRequest> waiters = std::exchange(this->lock_waiters, {});
  for (WaitingRequest& waiting : waiters) {
    if (!this->clients.contains(waiting.connection))
      continue;
    if (this->transaction) {
      this->lock_waiters.push_back(std::move(waiting));
      continue;
    }
    this->DidReceiveWrite(waiting.connection, std::move(waiting.request));
  }
}

void StandinTarget::RetryPositionWaiters() {
  const Position visible = this->replica.status().visible;
  std::vector<WaitingRequest> waiters =
      std::exchange(this->position_waiters, {});
  for (WaitingRequest& waiting : waiters) {
    if (visible >= waiting.request.minimum_position)
      this->DidReceiveRead(waiting.connection, std::move(waiting.request));
    else
      this->position_waiters.push_back(std::move(waiting));
  }
}

void StandinTarget::ExpireWaiters() {
  const TimePoint now = this->scheduler.Now();
  for (auto it = this->lock_waiters.begin(); it != this->lock_waiters.end();) {
    if (it->deadline > now) {
      ++it;
      continue;
    }
    this->AnswerError(it->connection, it->request, TargetErrorCode::kBusy,
                      "another transaction holds the write lock");
    it = this->lock_waiters.erase(it);
  }
  auto& positions = this->position_waiters;
  for (auto it = positions.begin(); it != positions.end();) {
    if (it->deadline > now) {
      ++it;
      continue;
    }
    this->AnswerError(it->connection, it->request, TargetErrorCode::kBehind);
    it = positions.erase(it);
  }
}

void StandinTarget::CloseIdleClients() {
  const TimePoint limit = this->scheduler.Now() - this->options.idle_limit;
  std::vector<ConnectionId> idle;
  for (const auto& [connection, client] : this->clients) {
    if (client.last_request_at < limit)
      idle.push_back(connection);
  }
  for (const ConnectionId connection : idle) {
    const DidClose did_close = this->clients.at(connection).did_close;
    this->Close(connection);
    did_close();
  }
  this->scheduler.PostAfter(this->options.idle_limit / 5,
                            [this] { this->CloseIdleClients(); });
}

void StandinTarget::Kill() {
  ++this->incarnation;
  this->queue.clear();
  this->used_slots = 0;
  this->lock_waiters.clear();
  this->position_waiters.clear();
  this->unconfirmed.clear();
  this->RollBackTransaction();
  auto clients = std::exchange(this->clients, {});
  this->used_connections = 0;
  this->replica.Stop();
  for (auto& [connection, client] : clients)
    client.did_close();
}

void StandinTarget::Restart() {
  this->replica.Start();
}

void StandinTarget::SetServiceTime(Duration service_time) {
  this->options.service_time = service_time;
}

void StandinTarget::SilenceConnections() {
  for (auto& [connection, client] : this->clients)
    client.is_silent = true;
}

}  // namespace kingcupmill
