#include "LibRelay/forward_desk.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibDispatch/work_request.h"

namespace kingcupmill {

namespace {

// The asker ends an idle transaction at the limit of the configuration; this is
// for the way of its word.
constexpr Duration kIdleMargin = std::chrono::milliseconds(400);

}  // namespace

struct ForwardDesk::Held {
  std::unique_ptr<CallerTransaction> transaction;
  uint64_t next_sequence = 0;
  Scheduler::TimerId timer = 0;
  // The way of the answer to the statement that runs; empty when none does.
  PeerLinks::Answer running;
  TransactionStep step = TransactionStep::kRead;
};

ForwardDesk::ForwardDesk(Scheduler& scheduler,
                         FindHome find_home,
                         PrimarySilence primary_silence,
                         IdleLimit idle_limit)
    : scheduler(scheduler),
      find_home(std::move(find_home)),
      primary_silence(std::move(primary_silence)),
      idle_limit(std::move(idle_limit)) {}

ForwardDesk::~ForwardDesk() = default;

void ForwardDesk::Handle(const ForwardQuery& query,
                         const PeerLinks::Answer& answer) {
  GroupAccess* home = this->find_home(query.route.group);
  if (!home || this->held_by_name.contains(query.name))
    return answer(ForwardAnswer{});
  auto record = std::make_shared<SessionRecord>();
  for (const auto& [name, value] : query.values)
    record->Set(name, value);
  WorkRequest request;
  request.route = query.route;
  request.command = query.command;
  request.caller_id = query.caller_id;
  request.needs_primary = query.needs_primary;
  request.is_write = query.is_write;
  request.opens_transaction = query.opens_transaction;
  request.record = std::move(record);
  request.session_point = query.session_point;
  // Clocks of VMs are not compared; what the way took is not counted.
  request.received_at = this->scheduler.Now() - query.waited;
  const uint64_t number = this->next_number++;
  this->running.emplace(number, Running{query.is_write, answer});
  home->Submit(
      std::move(request),
      this->life.Wrap([this, number, name = query.name,
                       group = query.route.group](WorkOutcome outcome) {
        this->DidFinish(number, name, group, std::move(outcome));
      }));
}

void ForwardDesk::DidFinish(uint64_t number,
                            const std::string& name,
                            const GroupName& group,
                            WorkOutcome outcome) {
  const auto ended = this->running.extract(number);
  // It was given up.
  if (ended.empty())
    return;
  ForwardAnswer forwarded;
  forwarded.is_taken = true;
  forwarded.answer = std::move(outcome.answer);
  forwarded.is_open = outcome.transaction != nullptr;
  forwarded.primary_silence = this->primary_silence(group);
  if (outcome.transaction) {
    auto held = std::make_shared<Held>();
    held->transaction = std::move(outcome.transaction);
    this->held_by_name.emplace(name, held);
    this->RestartTimer(name, held);
  }
  ended.mapped().answer(forwarded);
}

void ForwardDesk::Handle(const ContinueQuery& query,
                         const PeerLinks::Answer& answer) {
  const auto found = this->held_by_name.find(query.name);
  const bool is_next = found != this->held_by_name.end() &&
                       !found->second->running &&
                       found->second->next_sequence == query.sequence;
  if (!is_next) {
    this->End(query.name);
    return answer(ContinueAnswer{});
  }
  const HeldPointer held = found->second;
  ++held->next_sequence;
  held->running = answer;
  held->step = query.step;
  this->scheduler.Cancel(held->timer);
  SessionRecord record;
  for (const auto& [name, value] : query.values)
    record.Set(name, value);
  held->transaction->Run(record, query.command, query.step,
                         this->life.Wrap([this, name = query.name,
                                          held](StatementAnswer answered) {
                           this->DidContinue(name, held, std::move(answered));
                         }));
}

void ForwardDesk::DidContinue(const std::string& name,
                              const HeldPointer& held,
                              StatementAnswer answered) {
  const PeerLinks::Answer answer = std::exchange(held->running, nullptr);
  // It was given up.
  if (!answer)
    return;
  const bool is_over =
      held->step == TransactionStep::kCommit || answered.error.has_value();
  ContinueAnswer continued;
  continued.is_known = true;
  continued.answer = std::move(answered);
  if (held->transaction)
    continued.committed = held->transaction->committed_point();
  if (is_over)
    this->End(name);
  else
    this->RestartTimer(name, held);
  answer(continued);
}

void ForwardDesk::Handle(const EndQuery& query,
                         const PeerLinks::Answer& answer) {
  this->End(query.name);
  answer(EndAnswer{});
}

void ForwardDesk::RestartTimer(const std::string& name,
                               const HeldPointer& held) {
  if (held->timer != 0)
    this->scheduler.Cancel(held->timer);
  held->timer = this->scheduler.PostAfter(
      this->idle_limit() + kIdleMargin,
      this->life.Wrap([this, name] { this->End(name); }));
}

void ForwardDesk::EndIdle() {
  std::vector<std::string> idle;
  for (const auto& [name, held] : this->held_by_name) {
    if (!held->running)
      idle.push_back(name);
  }
  for (const std::string& name : idle)
    this->End(name);
}

void ForwardDesk::GiveUp() {
  for (const auto& [number, statement] : std::exchange(this->running, {})) {
    ForwardAnswer given_up;
    given_up.is_taken = statement.is_write;
    if (statement.is_write)
      given_up.answer.error =
          StatementError{StatementErrorCode::kInDoubt,
                         "the home ended before the answer came"};
    statement.answer(given_up);
  }
  // Only a commit keeps anything of a transaction.
  const std::map<std::string, HeldPointer> held_now = this->held_by_name;
  for (const auto& [name, held] : held_now) {
    StatementAnswer given_up;
    given_up.state = SessionState::kFailedTransaction;
    const bool is_commit = held->step == TransactionStep::kCommit;
    given_up.error = StatementError{
        is_commit ? StatementErrorCode::kInDoubt : StatementErrorCode::kAborted,
        "the home ended before the answer came"};
    if (is_commit)
      given_up.state = SessionState::kIdle;
    if (held->running)
      this->DidContinue(name, held, std::move(given_up));
    else
      this->End(name);
  }
}

void ForwardDesk::End(const std::string& name) {
  auto ended = this->held_by_name.extract(name);
  if (ended.empty())
    return;
  this->scheduler.Cancel(ended.mapped()->timer);
  // Destroying the transaction may tell others, who may drop this.
  const std::unique_ptr<CallerTransaction> transaction =
      std::move(ended.mapped()->transaction);
}

}  // namespace kingcupmill
