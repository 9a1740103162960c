#include "LibDispatch/open_transaction.h"

#include <utility>

#include "LibDispatch/group_dispatcher.h"
#include "LibDispatch/target_view.h"

namespace kingcupmill {

namespace {

StatementAnswer Failed(StatementErrorCode code,
                       const char* message,
                       SessionState state) {
  StatementAnswer answer;
  answer.error = StatementError{code, message};
  answer.state = state;
  return answer;
}

// Whether the answer says that the statement did not run.
bool IsNotRun(const StatementAnswer& answer) {
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
                                 std::shared_ptr<TargetLink> link,
                                 CallerRoute route,
                                 std::optional<PrimaryRecord> lease)
    : dispatcher(dispatcher),
      target(std::move(target)),
      link(std::move(link)),
      route(std::move(route)),
      lease(std::move(lease)) {
  this->dispatcher.DidOpenTransaction(this);
}

OpenTransaction::~OpenTransaction() {
  this->dispatcher.DidEndTransaction(this, this->target, this->link);
}

void OpenTransaction::Run(const SessionRecord& record,
                          TargetCommand command,
                          TransactionStep step,
                          DidAnswer did_answer) {
  const bool is_commit = step == TransactionStep::kCommit;
  const SessionState after_failure =
      is_commit ? SessionState::kIdle : SessionState::kFailedTransaction;
  if (this->lease && !this->dispatcher.may_use(*this->lease)) {
    // A closed connection rolls back, and no commit was sent.
    this->link->Close();
    return did_answer(Failed(StatementErrorCode::kAborted,
                             "the primary is being replaced", after_failure));
  }
  if (!this->link->is_open())
    return did_answer(Failed(StatementErrorCode::kAborted,
                             "the connection was lost", after_failure));
  if (step == TransactionStep::kWrite)
    this->did_write = true;
  this->is_running = true;
  const TimePoint sent_at = this->dispatcher.Now();
  const bool is_in_doubt_when_lost = is_commit && this->did_write;
  const uint64_t sending = this->dispatcher.sent().DidSend(
      this->target, this->link,
      is_in_doubt_when_lost ? SentStatements::Loss::kOutcome
                            : SentStatements::Loss::kNothing);
  this->link->SendFor(
      record, std::move(command), this->route.statement_timeout,
      [dispatcher = &this->dispatcher, sending,
       did_receive = this->life.Wrap(
           [this, step, sent_at, did_answer = std::move(did_answer)](
               std::optional<StatementAnswer> answer) {
             this->DidReceive(step, sent_at, std::move(answer), did_answer);
           })](std::optional<StatementAnswer> answer) {
        dispatcher->sent().DidEnd(sending);
        did_receive(std::move(answer));
      });
}

void OpenTransaction::DidReceive(TransactionStep step,
                                 TimePoint sent_at,
                                 std::optional<StatementAnswer> answer,
                                 const DidAnswer& did_answer) {
  this->is_running = false;
  const bool is_commit = step == TransactionStep::kCommit;
  const SessionState after_failure =
      is_commit ? SessionState::kIdle : SessionState::kFailedTransaction;
  if (!answer) {
    if (is_commit && this->did_write)
      return did_answer(Failed(StatementErrorCode::kInDoubt,
                               "the answer to the commit was lost",
                               after_failure));
    return did_answer(Failed(StatementErrorCode::kAborted,
                             "the connection was lost", after_failure));
  }
  this->dispatcher.DidReceiveFrom(*this->target, *answer, sent_at);
  const bool is_superseded =
      this->lease && !this->dispatcher.may_use(*this->lease);
  if (is_superseded && (!is_commit || this->did_write)) {
    this->link->Close();
    // Only codes that rule out a run make the commit's outcome certain.
    if (is_commit && !IsNotRun(*answer))
      return did_answer(Failed(StatementErrorCode::kInDoubt,
                               "the primary was replaced meanwhile",
                               after_failure));
    return did_answer(Failed(StatementErrorCode::kAborted,
                             "the primary was replaced meanwhile",
                             after_failure));
  }
  if (is_commit && !answer->error && this->did_write)
    this->committed = answer->position;
  did_answer(std::move(*answer));
}

}  // namespace kingcupmill
