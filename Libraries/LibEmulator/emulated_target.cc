#include "LibEmulator/emulated_target.h"

#include <algorithm>
#include <utility>

namespace kingcupmill {

namespace {

// The longest time of a statement on a target without slowdown.
constexpr uint64_t kMaximumStatementMs = 20;
// How long a target that is slow to report its status takes.
constexpr Duration kSlowStatusTime = std::chrono::milliseconds(900);

bool is_write(const TargetCommand& command) {
  return command.kind == TargetCommandKind::kExecute
             ? command.shape.access == StatementAccess::kWrite
             : command.text.starts_with("WRITE");
}

bool is_commit(const TargetCommand& command) {
  return command.kind == TargetCommandKind::kStatement &&
         command.text == "COMMIT";
}

// Only callers' statements take time; other commands are answered at once.
bool takes_time(const TargetCommand& command) {
  return command.kind == TargetCommandKind::kStatement ||
         command.kind == TargetCommandKind::kExecute;
}

// The attempt precedes the last dash of a request's ID.
std::string AttemptOf(const std::string& request_id) {
  return request_id.substr(0, request_id.rfind('-'));
}

}  // namespace

EmulatedTarget::EmulatedTarget(Scheduler& scheduler,
                               ConsistencyChecker& checker,
                               GroupName group,
                               TargetName name,
                               uint64_t seed)
    : scheduler(scheduler),
      checker(checker),
      group(std::move(group)),
      target_name(std::move(name)),
      random(seed) {}

LogPoint EmulatedTarget::position() const {
  if (this->entries.empty())
    return LogPoint{Term{1}, Position{0}};
  return this->entries.back().point;
}

bool EmulatedTarget::has(const LogPoint& point) const {
  const uint64_t number = point.position.value;
  if (number == 0)
    return true;
  return number <= this->entries.size() &&
         this->entries[number - 1].point == point;
}

void EmulatedTarget::Crash() {
  this->running = false;
  this->unreplicated.clear();
  for (const auto& session : std::exchange(this->sessions, {}))
    session->is_open = false;
}

void EmulatedTarget::Start() {
  this->running = true;
}

void EmulatedTarget::StartEmpty() {
  this->entries.clear();
  this->leads = false;
  this->did_lose_log = true;
  this->running = true;
}

void EmulatedTarget::Lead(Term term) {
  this->leads = true;
  this->current_term = term;
}

void EmulatedTarget::StepDown(Term term) {
  if (this->current_term < term)
    this->leads = false;
}

void EmulatedTarget::CopyLog(const std::vector<CommitEntry>& source,
                             size_t count,
                             Term term) {
  this->current_term = std::max(this->current_term, term);
  size_t common = 0;
  while (common < this->entries.size() && common < source.size() &&
         this->entries[common] == source[common])
    ++common;
  if (common < this->entries.size())
    this->entries.resize(common);
  // The commits that were cut off are never answered.
  std::erase_if(this->unreplicated, [common](const auto& commit) {
    return commit.length > common;
  });
  while (this->entries.size() < std::min(count, source.size()))
    this->entries.push_back(source[this->entries.size()]);
}

std::shared_ptr<EmulatedSession> EmulatedTarget::OpenSession(
    CustomerName customer) {
  if (!this->running)
    return nullptr;
  if (this->sessions.size() >= kMaximumSessions) {
    ++this->refused_session_count;
    return nullptr;
  }
  auto session = std::make_shared<EmulatedSession>();
  session->customer = std::move(customer);
  this->sessions.insert(session);
  this->peak_session_count =
      std::max(this->peak_session_count, this->sessions.size());
  return session;
}

void EmulatedTarget::CloseSession(
    const std::shared_ptr<EmulatedSession>& session) {
  session->is_open = false;
  this->sessions.erase(session);
}

void EmulatedTarget::Submit(const std::shared_ptr<EmulatedSession>& session,
                            TargetCommand command) {
  if (!session->is_open || !this->running)
    return;
  session->commands.push_back(std::move(command));
  this->RunNext(session);
}

void EmulatedTarget::DidReplicate(size_t length) {
  std::vector<UnreplicatedCommit> waiting;
  std::vector<UnreplicatedCommit> replicated;
  for (UnreplicatedCommit& commit : this->unreplicated)
    (commit.length <= length ? replicated : waiting)
        .push_back(std::move(commit));
  this->unreplicated = std::move(waiting);
  for (UnreplicatedCommit& commit : replicated) {
    if (commit.session->is_open)
      this->Answer(commit.session, std::move(commit.answer));
  }
}

Duration EmulatedTarget::DelayOf(const TargetCommand& command) {
  if (takes_time(command))
    return Duration(std::chrono::milliseconds(
               1 + this->random.Below(kMaximumStatementMs))) *
           this->slowdown;
  if (command.kind == TargetCommandKind::kStatus &&
      this->status_fault == EmulatedStatusFault::kSlow)
    return kSlowStatusTime;
  return std::chrono::microseconds(100);
}

void EmulatedTarget::RunNext(const std::shared_ptr<EmulatedSession>& session) {
  if (session->is_busy || session->commands.empty() || !session->is_open)
    return;
  session->is_busy = true;
  // The statement takes effect at the end of the delay.
  this->scheduler.PostAfter(this->DelayOf(session->commands.front()),
                            [this, session] {
                              if (session->is_open && this->running)
                                this->Run(session);
                            });
}

void EmulatedTarget::Run(const std::shared_ptr<EmulatedSession>& session) {
  const TargetCommand command = std::move(session->commands.front());
  session->commands.pop_front();
  // The session stays busy, so that it answers nothing more.
  if (command.kind == TargetCommandKind::kStatus &&
      this->status_fault == EmulatedStatusFault::kSilent)
    return;
  session->committed_length.reset();
  StatementAnswer answer = this->Execute(*session, command);
  answer.state = session->state;
  if (this->has_synchronous_replicas && session->committed_length) {
    this->unreplicated.push_back(UnreplicatedCommit{
        session, std::move(answer), *session->committed_length});
    return;
  }
  this->Answer(session, std::move(answer));
}

void EmulatedTarget::Answer(const std::shared_ptr<EmulatedSession>& session,
                            StatementAnswer answer) {
  session->is_busy = false;
  answer.position = this->position();
  if (session->did_answer)
    session->did_answer(std::move(answer));
  this->RunNext(session);
}

StatementAnswer EmulatedTarget::Refuse(EmulatedSession& session,
                                       StatementErrorCode code) {
  if (session.state == SessionState::kInTransaction)
    session.state = SessionState::kFailedTransaction;
  StatementAnswer answer;
  answer.error = StatementError{code, this->target_name.value};
  return answer;
}

StatementAnswer EmulatedTarget::Success(const EmulatedSession&) const {
  return StatementAnswer{};
}

StatementAnswer EmulatedTarget::Execute(EmulatedSession& session,
                                        const TargetCommand& command) {
  switch (command.kind) {
    case TargetCommandKind::kReset:
      session.values.clear();
      session.prepared.clear();
      return this->Success(session);
    case TargetCommandKind::kSet:
      session.values[command.name] = command.value;
      return this->Success(session);
    case TargetCommandKind::kPrepare:
      session.prepared[command.name] = command.shape;
      return this->Success(session);
    case TargetCommandKind::kProbe:
      return this->Success(session);
    case TargetCommandKind::kRollback:
      session.state = SessionState::kIdle;
      session.transaction_attempt.clear();
      return this->Success(session);
    case TargetCommandKind::kBegin:
    case TargetCommandKind::kBeginRead:
      return this->Begin(session, command);
    case TargetCommandKind::kStepDown:
      this->StepDown(command.term);
      [[fallthrough]];
    case TargetCommandKind::kStatus: {
      if (command.kind == TargetCommandKind::kStatus &&
          this->status_fault == EmulatedStatusFault::kBusy)
        return this->Refuse(session, StatementErrorCode::kBusy);
      StatementAnswer answer;
      answer.report =
          TargetReport{this->leads, this->current_term, this->position()};
      return answer;
    }
    case TargetCommandKind::kStatement:
    case TargetCommandKind::kExecute:
      if (session.state == SessionState::kFailedTransaction)
        return this->Refuse(session, StatementErrorCode::kMalformed);
      if (is_commit(command))
        return this->Commit(session, command);
      return this->RunStatement(session, command);
  }
  return this->Success(session);
}

StatementAnswer EmulatedTarget::Begin(EmulatedSession& session,
                                      const TargetCommand& command) {
  const bool is_plain = command.kind == TargetCommandKind::kBegin;
  if (is_plain && !this->leads)
    return this->Refuse(session, StatementErrorCode::kReadOnly);
  if (command.required_position && !this->has(*command.required_position))
    return this->Refuse(session, StatementErrorCode::kLagging);
  session.state = SessionState::kInTransaction;
  session.is_read_only = !is_plain;
  session.has_written = false;
  session.transaction_attempt.clear();
  return this->Success(session);
}

std::string EmulatedTarget::RecordRun(EmulatedSession& session,
                                      const std::string& request_id) {
  ConsistencyChecker::Run run;
  run.request_id = request_id;
  run.target = this->target_name;
  run.is_in_transaction = session.state != SessionState::kIdle;
  run.transaction_attempt = session.transaction_attempt;
  run.values = &session.values;
  run.log = &this->entries;
  run.customer = session.customer;
  return this->checker.DidRun(run);
}

StatementAnswer EmulatedTarget::RunStatement(EmulatedSession& session,
                                             const TargetCommand& command) {
  const bool is_plain_transaction =
      session.state == SessionState::kInTransaction && !session.is_read_only;
  if ((is_write(command) || is_plain_transaction) && !this->leads)
    return this->Refuse(session, StatementErrorCode::kReadOnly);
  if (command.required_position && !this->has(*command.required_position))
    return this->Refuse(session, StatementErrorCode::kLagging);
  if (command.kind == TargetCommandKind::kExecute) {
    const auto prepared = session.prepared.find(command.name);
    if (prepared == session.prepared.end() || prepared->second != command.shape)
      return this->Refuse(session, StatementErrorCode::kNoPreparedStatement);
  }
  StatementAnswer answer;
  answer.receipt = this->RecordRun(session, command.request_id);
  answer.rows = {command.request_id};
  const std::string attempt = AttemptOf(command.request_id);
  if (session.state == SessionState::kInTransaction) {
    session.transaction_attempt = attempt;
    session.has_written = session.has_written || is_write(command);
  } else if (is_write(command)) {
    this->Append(session, attempt);
  }
  return answer;
}

StatementAnswer EmulatedTarget::Commit(EmulatedSession& session,
                                       const TargetCommand& command) {
  if (session.state != SessionState::kInTransaction)
    return this->Refuse(session, StatementErrorCode::kMalformed);
  if (session.has_written && !this->leads) {
    session.state = SessionState::kIdle;
    return this->Refuse(session, StatementErrorCode::kReadOnly);
  }
  StatementAnswer answer;
  answer.receipt = this->RecordRun(session, command.request_id);
  session.state = SessionState::kIdle;
  if (session.has_written)
    this->Append(session, AttemptOf(command.request_id));
  session.transaction_attempt.clear();
  return answer;
}

void EmulatedTarget::Append(EmulatedSession& session,
                            const std::string& attempt) {
  CommitEntry entry;
  entry.point =
      LogPoint{this->current_term, Position{this->entries.size() + 1}};
  entry.attempt = attempt;
  this->entries.push_back(entry);
  session.committed_length = this->entries.size();
  this->checker.DidCommit(this->group, this->target_name, entry);
}

}  // namespace kingcupmill
