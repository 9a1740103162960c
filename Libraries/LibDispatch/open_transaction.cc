#include "LibDispatch/open_transaction.h"

#include <utility>

#include "LibDispatch/group_dispatcher.h"
#include "LibDispatch/target_view.h"

namespace kingcupmill {

namespace {

StatementAnswer MakeError(StatementErrorCode code,
                          const char* message,
                          SessionState state) {
  StatementAnswer answer;
  answer.error = StatementError{code, message};
  answer.state = state;
  return answer;
}

// Whether the error code rules out that the statement ran.
bool RulesOutExecution(const StatementAnswer& answer) {
  if (!answer.error)
    return false;
  const StatementErrorCode code = answer.error->code;
  return code == StatementErrorCode::kBusy ||
         code == StatementErrorCode::kReadOnly ||
         code == StatementErrorCode::kLagging ||
         code == StatementErrorCode::kNoPreparedStatement;
}

}  // namespace

OpenTransaction::OpenTransaction(GroupDispatcher& dispatcher,
                                 std::shared_ptr<TargetView> target,
                                 std::shared_ptr<PooledConnection> connection,
                                 CallerRoute route,
                                 std::optional<PrimaryRecord> lease)
    : dispatcher(dispatcher),
      target(std::move(target)),
      connection(std::move(connection)),
      route(std::move(route)),
      lease(std::move(lease)) {
  this->dispatcher.DidOpenTransaction(this);
}

OpenTransaction::~OpenTransaction() {
  this->dispatcher.DidEndTransaction(this, this->target, this->connection);
}

void OpenTransaction::Run(const SessionContext& session_context,
                          TargetCommand command,
                          TransactionStep step,
                          DidAnswer did_answer) {
  const bool is_commit = step == TransactionStep::kCommit;
  const SessionState state_after_failure =
      is_commit ? SessionState::kIdle : SessionState::kFailedTransaction;
  if (this->lease && !this->dispatcher.is_lease_valid(*this->lease)) {
    // Closing the connection rolls back, since no commit was sent.
    this->connection->Close();
    return did_answer(MakeError(StatementErrorCode::kAborted,
                                "the primary is being replaced",
                                state_after_failure));
  }
  if (!this->connection->is_open())
    return did_answer(MakeError(StatementErrorCode::kAborted,
                                "the connection was lost",
                                state_after_failure));
  if (step == TransactionStep::kWrite)
    this->did_write = true;
  this->is_awaiting_answer = true;
  const TimePoint sent_at = this->dispatcher.Now();
  const bool is_in_doubt_when_lost = is_commit && this->did_write;
  const uint64_t send_id = this->dispatcher.in_flight_statements().DidSend(
      this->target, this->connection,
      is_in_doubt_when_lost ? InFlightStatements::AnswerLoss::kOutcomeUnknown
                            : InFlightStatements::AnswerLoss::kRecoverable);
  this->connection->SendInSession(
      session_context, std::move(command), this->route.statement_timeout,
      [dispatcher = &this->dispatcher, send_id,
       did_receive = this->life.Wrap(
           [this, step, sent_at, did_answer = std::move(did_answer)](
               std::optional<StatementAnswer> answer) {
             this->DidReceive(step, sent_at, std::move(answer), did_answer);
           })](std::optional<StatementAnswer> answer) {
        dispatcher->in_flight_statements().DidEnd(send_id);
        did_receive(std::move(answer));
      });
}

void OpenTransaction::DidReceive(TransactionStep step,
                                 TimePoint sent_at,
                                 std::optional<StatementAnswer> answer,
                                 const DidAnswer& did_answer) {
  this->is_awaiting_answer = false;
  const bool is_commit = step == TransactionStep::kCommit;
  const SessionState state_after_failure =
      is_commit ? SessionState::kIdle : SessionState::kFailedTransaction;
  if (!answer) {
    if (is_commit && this->did_write)
      return did_answer(MakeError(StatementErrorCode::kInDoubt,
                                  "the answer to the commit was lost",
                                  state_after_failure));
    return did_answer(MakeError(StatementErrorCode::kAborted,
                                "the connection was lost",
                                state_after_failure));
  }
  this->dispatcher.DidReceiveFrom(*this->target, *answer, sent_at);
  const bool is_superseded =
      this->lease && !this->dispatcher.is_lease_valid(*this->lease);
  if (is_superseded && (!is_commit || this->did_write)) {
    this->connection->Close();
    // Unless the error code rules out that the commit ran, its outcome is
    // unknown.
    if (is_commit && !RulesOutExecution(*answer))
      return did_answer(MakeError(StatementErrorCode::kInDoubt,
                                  "the primary was replaced meanwhile",
                                  state_after_failure));
    return did_answer(MakeError(StatementErrorCode::kAborted,
                                "the primary was replaced meanwhile",
                                state_after_failure));
  }
  if (is_commit && !answer->error && this->did_write)
    this->committed = answer->position;
  did_answer(std::move(*answer));
}

}  // namespace kingcupmill
