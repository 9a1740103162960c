#include "LibGateway/gateway_session.h"

#include <utility>

namespace kingcupmill {

namespace {

// The number of statements that a caller may send ahead of their answers;
// today's callers send one at a time.
constexpr size_t kMaximumQueuedStatements = 64;

constexpr const char* kShuttingDownMessage =
    "the proxy is shutting down; retry after 0 ms";
constexpr const char* kKeyRemovedMessage = "the key is no longer valid";
constexpr const char* kKeyMovedMessage =
    "the key belongs to another customer now";

}  // namespace

GatewaySession::GatewaySession(Scheduler& scheduler,
                               SessionHost& host,
                               CallerChannel& channel,
                               std::string database,
                               std::string key,
                               uint64_t number)
    : scheduler(scheduler),
      host(host),
      channel(channel),
      database(std::move(database)),
      key(std::move(key)),
      session_number(number) {}

GatewaySession::~GatewaySession() {
  if (this->idle_timer != 0)
    this->scheduler.Cancel(this->idle_timer);
  if (this->request_dispatcher)
    this->request_dispatcher->Cancel(this->request_number);
}

void GatewaySession::DidReceive(CallerStatement statement) {
  if (this->queued_statements.size() >= kMaximumQueuedStatements)
    return this->channel.Close();
  this->queued_statements.push_back(std::move(statement));
  this->Next();
}

void GatewaySession::Next() {
  if (this->current || this->queued_statements.empty())
    return;
  this->current = std::move(this->queued_statements.front());
  this->queued_statements.pop_front();
  this->received_at = this->scheduler.Now();
  if (this->idle_timer != 0)
    this->scheduler.Cancel(std::exchange(this->idle_timer, 0));
  this->Handle(*this->current);
}

bool GatewaySession::can_close() const {
  return !this->current && this->queued_statements.empty() &&
         this->state == SessionState::kIdle;
}

void GatewaySession::Handle(const CallerStatement& statement) {
  if (this->state == SessionState::kIdle)
    return this->HandleOutsideTransaction(statement);
  this->HandleInTransaction(statement);
}

bool GatewaySession::HandleSessionStatement(const CallerStatement& statement) {
  switch (statement.kind) {
    case StatementKind::kSet:
    case StatementKind::kPrepare:
      if (this->session_context->is_full(statement.name.size() +
                                         statement.value.size() +
                                         statement.shape.shape.size())) {
        this->AnswerError(StatementErrorCode::kMalformed,
                          "the session keeps too many values and statements");
        return true;
      }
      break;
    case StatementKind::kClose:
      break;
    default:
      return false;
  }
  // Requests in flight share the session context, so it is replaced, not
  // modified.
  auto changed = std::make_shared<SessionContext>(*this->session_context);
  if (statement.kind == StatementKind::kSet)
    changed->Set(statement.name, statement.value);
  else if (statement.kind == StatementKind::kPrepare)
    changed->Prepare(statement.name, statement.shape);
  else
    changed->Close(statement.name);
  this->session_context = std::move(changed);
  this->AnswerDone();
  return true;
}

void GatewaySession::HandleOutsideTransaction(
    const CallerStatement& statement) {
  if (!this->Identify())
    return this->RefuseLastStatement(StatementErrorCode::kNotAuthorized);
  if (this->HandleSessionStatement(statement))
    return;
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginRead:
      if (!this->host.accepts_transactions())
        return this->AnswerError(StatementErrorCode::kBusy,
                                 kShuttingDownMessage);
      this->is_read_only = statement.kind == StatementKind::kBeginRead;
      this->abort_reason.reset();
      this->state = SessionState::kInTransaction;
      return this->AnswerDone();
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute: {
      const auto access = this->AccessOf(statement);
      if (!access)
        return this->AnswerError(StatementErrorCode::kNoPreparedStatement,
                                 statement.name);
      return this->RunAutocommit(statement, *access);
    }
    default:
      return this->AnswerError(StatementErrorCode::kMalformed,
                               "not a statement for this place");
  }
}

void GatewaySession::HandleInTransaction(const CallerStatement& statement) {
  if (!this->Identify())
    return this->RefuseLastStatement(StatementErrorCode::kAborted);
  const bool is_commit = statement.kind == StatementKind::kCommit;
  if (statement.kind == StatementKind::kRollback) {
    this->EndTransaction();
    return this->AnswerDone();
  }
  if (this->state == SessionState::kFailedTransaction) {
    if (!is_commit)
      return this->AnswerError(StatementErrorCode::kMalformed,
                               "the transaction has failed");
    this->EndTransaction();
    return this->AnswerError(StatementErrorCode::kAborted,
                             "the transaction had failed");
  }
  if (this->abort_reason) {
    const std::string reason = *std::exchange(this->abort_reason, std::nullopt);
    this->EndTransaction();
    if (!is_commit)
      this->state = SessionState::kFailedTransaction;
    return this->AnswerError(StatementErrorCode::kAborted, reason);
  }
  if (this->HandleSessionStatement(statement))
    return;
  const bool is_known = is_commit || this->AccessOf(statement).has_value();
  if (!is_known) {
    this->EndTransaction();
    this->state = SessionState::kFailedTransaction;
    return this->AnswerError(statement.kind == StatementKind::kExecute
                                 ? StatementErrorCode::kNoPreparedStatement
                                 : StatementErrorCode::kMalformed,
                             "not a statement for this place");
  }
  if (!this->transaction)
    return this->StartTransaction(statement);
  this->RunInTransaction(statement);
}

std::optional<StatementAccess> GatewaySession::AccessOf(
    const CallerStatement& statement) const {
  switch (statement.kind) {
    case StatementKind::kRead:
      return StatementAccess::kRead;
    case StatementKind::kWrite:
      return StatementAccess::kWrite;
    case StatementKind::kExecute: {
      const PreparedShape* shape = this->session_context->Find(statement.name);
      if (!shape)
        return std::nullopt;
      return shape->access;
    }
    default:
      return std::nullopt;
  }
}

TargetCommand GatewaySession::CommandFor(
    const CallerStatement& statement) const {
  TargetCommand command;
  command.request_id = statement.id;
  if (statement.kind == StatementKind::kExecute) {
    command.kind = TargetCommandKind::kExecute;
    command.shape = *this->session_context->Find(statement.name);
    command.value = statement.value;
    return command;
  }
  command.kind = TargetCommandKind::kStatement;
  command.text = statement.text;
  return command;
}

const CallerRoute* GatewaySession::FindUsableRoute() {
  const CallerRoute* route = this->host.FindRoute(this->database);
  if (!route) {
    this->EndTransaction();
    this->AnswerError(StatementErrorCode::kNoDatabase, this->database);
    return nullptr;
  }
  if (!this->host.accepts_statement(*route)) {
    const bool is_open = this->state == SessionState::kInTransaction &&
                         this->current->kind != StatementKind::kCommit;
    this->EndTransaction();
    if (is_open)
      this->state = SessionState::kFailedTransaction;
    this->AnswerError(StatementErrorCode::kBusy, kShuttingDownMessage);
    return nullptr;
  }
  return route;
}

void GatewaySession::RunAutocommit(const CallerStatement& statement,
                                   StatementAccess access) {
  const CallerRoute* route = this->FindUsableRoute();
  if (!route)
    return;
  RequestDispatcher* dispatcher =
      this->host.FindRequestDispatcher(route->group);
  if (!dispatcher)
    return this->AnswerError(StatementErrorCode::kBusy, "no targets");
  const auto customer = this->Identify();
  if (!customer)
    return this->RefuseLastStatement(StatementErrorCode::kNotAuthorized);
  DispatchRequest request;
  request.route = *route;
  SetCustomer(request, *customer);
  request.command = this->CommandFor(statement);
  request.statement_id = statement.id;
  request.is_write = access == StatementAccess::kWrite;
  request.needs_primary =
      request.is_write || route->kind == RouteKind::kPrimary;
  request.session_context = this->session_context;
  if (route->kind == RouteKind::kReadYourWrites)
    request.session_point = this->last_commit;
  request.received_at = this->received_at;
  const bool is_write = request.is_write;
  this->request_dispatcher = dispatcher;
  this->request_number = 0;
  const auto number = dispatcher->Submit(
      std::move(request),
      this->life.Wrap([this, is_write](DispatchOutcome outcome) {
        if (is_write && !outcome.answer.error)
          this->last_commit = outcome.answer.position;
        this->DidFinishAutocommit(std::move(outcome));
      }));
  // The callback may have run already, within Submit().
  if (this->request_dispatcher)
    this->request_number = number;
}

void GatewaySession::DidFinishAutocommit(DispatchOutcome outcome) {
  this->request_dispatcher = nullptr;
  StatementAnswer answer = std::move(outcome.answer);
  answer.state = SessionState::kIdle;
  this->Answer(std::move(answer));
}

void GatewaySession::StartTransaction(const CallerStatement& statement) {
  const CallerRoute* route = this->FindUsableRoute();
  if (!route)
    return;
  RequestDispatcher* dispatcher =
      this->host.FindRequestDispatcher(route->group);
  if (!dispatcher) {
    this->EndTransaction();
    return this->AnswerError(StatementErrorCode::kBusy, "no targets");
  }
  const auto customer = this->Identify();
  if (!customer)
    return this->RefuseLastStatement(StatementErrorCode::kAborted);
  DispatchRequest request;
  request.route = *route;
  SetCustomer(request, *customer);
  this->transaction_customer = customer->name;
  request.command.kind = this->is_read_only ? TargetCommandKind::kBeginRead
                                            : TargetCommandKind::kBegin;
  request.needs_primary =
      !this->is_read_only || route->kind == RouteKind::kPrimary;
  request.opens_transaction = true;
  request.statement_id = statement.id;
  request.session_context = this->session_context;
  if (route->kind == RouteKind::kReadYourWrites)
    request.session_point = this->last_commit;
  request.received_at = this->received_at;
  this->request_dispatcher = dispatcher;
  this->request_number = 0;
  const auto number = dispatcher->Submit(
      std::move(request),
      this->life.Wrap([this, statement](DispatchOutcome outcome) {
        this->DidStartTransaction(statement, std::move(outcome));
      }));
  if (this->request_dispatcher)
    this->request_number = number;
}

void GatewaySession::DidStartTransaction(const CallerStatement& statement,
                                         DispatchOutcome outcome) {
  this->request_dispatcher = nullptr;
  if (!outcome.transaction) {
    if (!outcome.answer.error)
      outcome.answer.error =
          StatementError{StatementErrorCode::kAborted, "not started"};
    // No statement of the transaction has run.
    const bool is_commit = statement.kind == StatementKind::kCommit;
    this->EndTransaction();
    if (!is_commit)
      this->state = SessionState::kFailedTransaction;
    return this->AnswerError(outcome.answer.error->code,
                             outcome.answer.error->message);
  }
  this->transaction = std::move(outcome.transaction);
  this->RunInTransaction(statement);
}

void GatewaySession::RunInTransaction(const CallerStatement& statement) {
  const auto access = this->AccessOf(statement);
  const auto step =
      statement.kind == StatementKind::kCommit ? TransactionStep::kCommit
      : access == StatementAccess::kWrite      ? TransactionStep::kWrite
                                               : TransactionStep::kRead;
  this->transaction->Run(
      *this->session_context, this->CommandFor(statement), step,
      this->life.Wrap([this, step](StatementAnswer answer) {
        this->DidFinishInTransaction(step, std::move(answer));
      }));
}

void GatewaySession::DidFinishInTransaction(TransactionStep step,
                                            StatementAnswer answer) {
  if (step == TransactionStep::kCommit) {
    if (!answer.error && this->transaction->committed_point())
      this->last_commit = this->transaction->committed_point();
    // No transaction stays open after a commit, even if it failed: ending it
    // rolls back what remains.
    this->EndTransaction();
    answer.state = SessionState::kIdle;
    return this->Answer(std::move(answer));
  }
  if (answer.error) {
    // The error may tell the caller that the transaction has no effect, so the
    // transaction must not stay open.
    this->EndTransaction();
    this->state = SessionState::kFailedTransaction;
  }
  answer.state = this->state;
  this->Answer(std::move(answer));
}

void GatewaySession::AbortIdleTransaction(const char* reason) {
  if (this->state != SessionState::kInTransaction || this->current)
    return;
  this->transaction.reset();
  this->abort_reason = reason;
}

void GatewaySession::FailOutstanding() {
  this->queued_statements.clear();
  if (!this->current)
    return;
  if (this->request_dispatcher)
    std::exchange(this->request_dispatcher, nullptr)
        ->Cancel(this->request_number);
  // Without a commit, a transaction has no effect.
  const bool is_rolled_back = this->state != SessionState::kIdle &&
                              this->current->kind != StatementKind::kCommit;
  this->EndTransaction();
  if (is_rolled_back)
    this->state = SessionState::kFailedTransaction;
  this->AnswerError(is_rolled_back ? StatementErrorCode::kAborted
                                   : StatementErrorCode::kInDoubt,
                    "the proxy ended before the answer came");
}

std::optional<SessionCustomer> GatewaySession::Identify() const {
  return this->host.session_authorizer().Identify(this->database, this->key);
}

void GatewaySession::SetCustomer(DispatchRequest& request,
                                 const SessionCustomer& customer) {
  request.customer = customer.name;
  request.customer_priority = customer.priority;
  request.customer_weight = customer.weight;
}

bool GatewaySession::is_transaction_allowed() const {
  const auto customer = this->Identify();
  return customer && customer->name == this->transaction_customer;
}

void GatewaySession::DidChangeConfiguration() {
  const bool is_starting = this->current && this->request_dispatcher &&
                           this->state == SessionState::kInTransaction;
  if (!is_starting)
    return this->ApplyAuthorization();
  if (this->is_transaction_allowed())
    return;
  // No statement of the transaction has run, so it need not be waited for.
  std::exchange(this->request_dispatcher, nullptr)
      ->Cancel(this->request_number);
  if (!this->Identify())
    return this->RefuseLastStatement(StatementErrorCode::kAborted);
  const bool is_commit = this->current->kind == StatementKind::kCommit;
  this->EndTransaction();
  if (!is_commit)
    this->state = SessionState::kFailedTransaction;
  this->AnswerError(StatementErrorCode::kAborted, kKeyMovedMessage);
}

void GatewaySession::RefuseLastStatement(StatementErrorCode code) {
  this->EndTransaction();
  this->abort_reason.reset();
  this->queued_statements.clear();
  this->AnswerError(code, kKeyRemovedMessage);
}

void GatewaySession::ApplyAuthorization() {
  // A running statement is answered first.
  if (this->current)
    return;
  if (this->state == SessionState::kIdle) {
    if (this->queued_statements.empty() && !this->Identify())
      this->PostClose();
    return;
  }
  if (this->transaction && !this->is_transaction_allowed())
    this->AbortIdleTransaction(this->Identify() ? kKeyMovedMessage
                                                : kKeyRemovedMessage);
}

void GatewaySession::PostClose() {
  if (std::exchange(this->is_closing, true))
    return;
  this->host.session_authorizer().DidCloseSession(this->session_number);
  // Closing may destroy the session, which is on the call stack.
  this->scheduler.Post(this->life.Wrap([this] { this->channel.Close(); }));
}

void GatewaySession::EndTransaction() {
  this->transaction.reset();
  this->state = SessionState::kIdle;
  this->is_read_only = false;
}

void GatewaySession::AnswerDone() {
  StatementAnswer answer;
  answer.state = this->state;
  this->Answer(std::move(answer));
}

void GatewaySession::AnswerError(StatementErrorCode code, std::string message) {
  StatementAnswer answer;
  answer.state = this->state;
  answer.error = StatementError{code, std::move(message)};
  this->Answer(std::move(answer));
}

void GatewaySession::Answer(StatementAnswer answer) {
  const CallerStatement statement = std::move(*this->current);
  this->current.reset();
  this->host.DidAnswerCaller(statement, answer, this->received_at);
  this->channel.Send(answer);
  this->ApplyAuthorization();
  this->RestartIdleTimer();
  // The next statement starts from the event loop, so that a series of
  // statements that are answered here does not recurse.
  if (!this->queued_statements.empty())
    this->scheduler.Post(this->life.Wrap([this] { this->Next(); }));
}

void GatewaySession::RestartIdleTimer() {
  if (this->state != SessionState::kInTransaction || !this->transaction)
    return;
  this->idle_timer = this->scheduler.PostAfter(
      this->host.transaction_idle_limit(), this->life.Wrap([this] {
        this->idle_timer = 0;
        this->AbortIdleTransaction("the transaction was idle for too long");
      }));
}

}  // namespace kingcupmill
