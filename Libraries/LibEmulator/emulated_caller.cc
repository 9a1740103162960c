#include "LibEmulator/emulated_caller.h"

#include <utility>

namespace kingcupmill {

namespace {

constexpr uint64_t kMaximumThinkTimeMs = 40;
constexpr uint64_t kMaximumTransactionStatements = 4;
// A caller closes its session when it has no answer after this time.
constexpr Duration kAnswerTimeout = std::chrono::seconds(4);

bool MeansNotCommitted(StatementErrorCode code) {
  switch (code) {
    case StatementErrorCode::kBusy:
    case StatementErrorCode::kAborted:
    case StatementErrorCode::kLagging:
    case StatementErrorCode::kReadOnly:
    case StatementErrorCode::kMisrouted:
    case StatementErrorCode::kConnectionLimit:
    case StatementErrorCode::kNotAuthorized:
      return true;
    default:
      return false;
  }
}

}  // namespace

EmulatedCaller::EmulatedCaller(Scheduler& scheduler,
                               ConsistencyChecker& checker,
                               OpenCallerPort open_port,
                               std::string name,
                               std::string database,
                               CallerRoute route,
                               UnansweredClose unanswered_close,
                               uint64_t seed)
    : scheduler(scheduler),
      checker(checker),
      open_port(std::move(open_port)),
      name(std::move(name)),
      database(std::move(database)),
      route(std::move(route)),
      unanswered_close(unanswered_close),
      random(seed) {}

EmulatedCaller::~EmulatedCaller() {
  this->Disconnect();
}

void EmulatedCaller::Start() {
  this->ScheduleNextStep();
}

void EmulatedCaller::ScheduleNextStep() {
  if (this->is_stopped)
    return;
  this->scheduler.PostAfter(
      std::chrono::milliseconds(1 + this->random.Below(kMaximumThinkTimeMs)),
      this->life.Wrap([this] { this->RunNextStep(); }));
}

void EmulatedCaller::Disconnect() {
  this->port.reset();
  this->is_in_transaction = false;
  this->outstanding.clear();
}

bool EmulatedCaller::Connect() {
  if (this->is_connected())
    return true;
  this->Disconnect();
  this->port = this->open_port(*this, this->database);
  ++this->session_number;
  this->values.clear();
  this->own_commit.reset();
  this->is_prepared = false;
  this->has_prepared_read = false;
  return this->port != nullptr;
}

void EmulatedCaller::RunNextStep() {
  if (this->is_stopped)
    return;
  this->ScheduleNextStep();
  if (!this->outstanding.empty()) {
    // No answer arrived in time, so the caller abandons the session.
    if (!this->is_connected() ||
        this->scheduler.Now() - this->sent_at > kAnswerTimeout)
      this->Disconnect();
    return;
  }
  if (!this->Connect())
    return;
  if (this->is_in_transaction)
    return this->ContinueTransaction();
  this->StartOperation();
}

CallerStatement EmulatedCaller::MakeStatement(bool is_write) {
  CallerStatement statement;
  if (this->is_prepared && this->random.Below(2) == 0) {
    statement.kind = StatementKind::kExecute;
    statement.name = is_write ? "put" : "get";
    statement.value = "item";
    return statement;
  }
  statement.kind = is_write ? StatementKind::kWrite : StatementKind::kRead;
  statement.text = is_write ? "WRITE item data" : "READ item";
  return statement;
}

void EmulatedCaller::SendStatement(CallerStatement statement, bool is_write) {
  statement.id = this->attempt + "-" + std::to_string(++this->statement_number);
  ConsistencyChecker::Sent sent;
  sent.attempt = this->attempt;
  sent.session = this->name + "/" + std::to_string(this->session_number);
  sent.group = this->route.group;
  sent.kind = this->route.kind;
  sent.maximum_staleness = this->route.maximum_staleness;
  sent.is_in_transaction = this->is_in_transaction;
  sent.is_write = is_write;
  sent.sent_at =
      this->is_in_transaction ? this->begun_at : this->scheduler.Now();
  sent.values = this->values;
  sent.own_commit = this->own_commit;
  sent.customer = this->customer;
  this->checker.DidSend(statement.id, std::move(sent));
  this->outstanding = statement.id;
  this->sent_at = this->scheduler.Now();
  ++this->counted.sent;
  this->port->Send(std::move(statement));
}

void EmulatedCaller::StartOperation() {
  this->attempt = this->name + "." + std::to_string(++this->attempt_number);
  this->did_write = false;
  const uint64_t kind = this->random.Below(20);
  CallerStatement statement;
  if (kind == 0) {
    statement.kind = StatementKind::kSet;
    statement.name = "value" + std::to_string(this->random.Below(3));
    statement.value = std::to_string(this->random.Below(4));
    this->values[statement.name] = statement.value;
    this->expected_step = Step::kSetup;
    return this->SendStatement(std::move(statement), false);
  }
  if (kind == 1 && !this->is_prepared) {
    const bool is_first = !this->has_prepared_read;
    statement.kind = StatementKind::kPrepare;
    statement.name = is_first ? "get" : "put";
    statement.shape = PreparedShape{
        is_first ? StatementAccess::kRead : StatementAccess::kWrite,
        "shape" + std::to_string(this->random.Below(2))};
    this->is_prepared = this->has_prepared_read;
    this->has_prepared_read = true;
    this->expected_step = Step::kSetup;
    return this->SendStatement(std::move(statement), false);
  }
  if (kind < 7) {
    this->is_read_only = this->random.Below(3) == 0;
    this->is_in_transaction = true;
    this->begun_at = this->scheduler.Now();
    this->statements_left =
        1 + static_cast<int>(this->random.Below(kMaximumTransactionStatements));
    CallerStatement begin;
    begin.kind =
        this->is_read_only ? StatementKind::kBeginRead : StatementKind::kBegin;
    this->expected_step = Step::kSetup;
    return this->SendStatement(std::move(begin), false);
  }
  const bool is_write = kind < 11;
  this->did_write = is_write;
  this->expected_step = Step::kAutocommit;
  this->SendStatement(this->MakeStatement(is_write), is_write);
}

void EmulatedCaller::ContinueTransaction() {
  if (this->statements_left-- > 0) {
    const bool is_write = !this->is_read_only && this->random.Below(2) == 0;
    this->did_write = this->did_write || is_write;
    this->expected_step = Step::kInTransaction;
    return this->SendStatement(this->MakeStatement(is_write), is_write);
  }
  if (this->random.Below(12) == 0) {
    // Some callers disconnect in the middle of a transaction.
    return this->Disconnect();
  }
  CallerStatement end;
  const bool is_rollback = this->random.Below(8) == 0;
  end.kind = is_rollback ? StatementKind::kRollback : StatementKind::kCommit;
  end.text = is_rollback ? "ROLLBACK" : "COMMIT";
  this->expected_step = is_rollback ? Step::kRollback : Step::kCommit;
  this->SendStatement(std::move(end), false);
}

void EmulatedCaller::Send(const StatementAnswer& answer) {
  if (this->outstanding.empty())
    return;
  const std::string request = std::exchange(this->outstanding, "");
  const Step expected = this->expected_step;
  if (expected != Step::kSetup && expected != Step::kRollback)
    this->checker.DidAnswer(request, answer);
  const bool is_end =
      expected == Step::kAutocommit || expected == Step::kCommit;
  if (answer.error) {
    const StatementErrorCode code = answer.error->code;
    if (MeansNotCommitted(code)) {
      ++this->counted.refused;
      this->checker.DidReportNotCommitted(this->attempt);
    } else if (code == StatementErrorCode::kInDoubt) {
      ++this->counted.in_doubt;
    }
    this->is_in_transaction = false;
    // The caller ends a failed transaction by closing the session.
    if (answer.state != SessionState::kIdle)
      this->scheduler.Post(this->life.Wrap([this] { this->Disconnect(); }));
  } else {
    ++this->counted.succeeded;
    if (is_end && this->did_write) {
      ++this->counted.writes_succeeded;
      this->checker.DidAcknowledge(this->attempt);
      this->own_commit = this->checker.CommitOf(this->attempt);
    }
    if (expected == Step::kCommit || expected == Step::kRollback)
      this->is_in_transaction = false;
  }
}

void EmulatedCaller::Close() {
  if (this->unanswered_close == UnansweredClose::kViolation &&
      !this->outstanding.empty())
    this->checker.DidDropStatement(this->outstanding);
  this->scheduler.Post(this->life.Wrap([this] { this->Disconnect(); }));
}

}  // namespace kingcupmill
