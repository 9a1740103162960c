#include "LibLink/pooled_connection.h"

#include <algorithm>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// How long a connection may take to be accepted. Targets need 12 ms; a longer
// attempt indicates a network partition, and a peer may still reach the target.
constexpr Duration kOpenTimeout = std::chrono::milliseconds(600);

}  // namespace

PooledConnection::PooledConnection(Scheduler& scheduler,
                                   TargetDialer& dialer,
                                   const TargetEndpoint& endpoint,
                                   DidOpen did_open,
                                   DidFail did_fail)
    : scheduler(scheduler),
      customer_name(endpoint.customer),
      did_open(std::move(did_open)),
      did_fail(std::move(did_fail)),
      last_answered_at(scheduler.Now()) {
  ChannelHandlers handlers;
  handlers.did_open = this->life.Wrap([this](std::optional<LogPoint> point) {
    if (this->state != State::kOpening)
      return;
    this->state = State::kOpen;
    this->was_opened_at = this->scheduler.Now();
    this->last_answered_at = this->was_opened_at;
    this->did_open(point);
  });
  handlers.did_receive = this->life.Wrap(
      [this](StatementAnswer answer) { this->DidReceive(std::move(answer)); });
  handlers.did_fail = this->life.Wrap(
      [this](ConnectionFailure failure) { this->Fail(failure); });
  this->channel = dialer.Dial(endpoint, std::move(handlers));
  this->scheduler.PostAfter(kOpenTimeout, this->life.Wrap([this] {
    if (this->state == State::kOpening)
      this->Fail(ConnectionFailure::kLost);
  }));
}

std::string PooledConnection::PreparedNameOf(const PreparedShape& shape) {
  // Callers choose the shape, so a prefix keeps names of reads and writes
  // apart.
  return (shape.access == StatementAccess::kRead ? "r." : "w.") + shape.shape;
}

void PooledConnection::Send(TargetCommand command,
                            Duration timeout,
                            DidAnswer did_answer) {
  if (!this->is_open())
    return did_answer(std::nullopt);
  this->AddPending(timeout, std::move(did_answer));
  this->channel->Send(std::span<const TargetCommand>(&command, 1));
}

void PooledConnection::SendInSession(const SessionContext& session_context,
                                     TargetCommand command,
                                     Duration timeout,
                                     DidAnswer did_answer) {
  if (!this->is_open())
    return did_answer(std::nullopt);
  std::vector<TargetCommand> commands = this->SetupCommandsFor(session_context);
  if (command.kind == TargetCommandKind::kExecute &&
      this->prepared.insert(command.shape).second) {
    TargetCommand prepare;
    prepare.kind = TargetCommandKind::kPrepare;
    prepare.name = PreparedNameOf(command.shape);
    prepare.shape = command.shape;
    commands.push_back(std::move(prepare));
  }
  for (size_t index = 0; index < commands.size(); ++index) {
    this->AddPending(
        timeout, this->life.Wrap([this](std::optional<StatementAnswer> answer) {
          // The command behind it ran in a session that differs from the
          // caller's, so its answer must not be used.
          if (answer && answer->error)
            this->Fail(ConnectionFailure::kLost);
        }));
  }
  if (command.kind == TargetCommandKind::kExecute)
    command.name = PreparedNameOf(command.shape);
  commands.push_back(std::move(command));
  this->AddPending(timeout, std::move(did_answer));
  this->channel->Send(commands);
}

void PooledConnection::Reset(Duration timeout, DidAnswer did_answer) {
  this->values.clear();
  this->prepared.clear();
  TargetCommand reset;
  reset.kind = TargetCommandKind::kReset;
  this->Send(std::move(reset), timeout, std::move(did_answer));
}

void PooledConnection::Relay(
    std::vector<TargetCommand> commands,
    Duration timeout,
    std::function<void(std::optional<std::vector<StatementAnswer>>)>
        did_answer) {
  if (!this->is_open() || commands.empty())
    return did_answer(std::nullopt);
  auto answers = std::make_shared<std::vector<StatementAnswer>>();
  const size_t count = commands.size();
  for (size_t index = 0; index < count; ++index) {
    this->AddPending(timeout, [answers, did_answer, index,
                               count](std::optional<StatementAnswer> answer) {
      if (answer)
        answers->push_back(std::move(*answer));
      if (index + 1 < count)
        return;
      if (answers->size() == count)
        did_answer(std::move(*answers));
      else
        did_answer(std::nullopt);
    });
  }
  this->channel->Send(commands);
}

size_t PooledConnection::SetupCommandCount(
    const SessionContext& session_context) const {
  const SessionContext::Values& wanted = session_context.values();
  for (const auto& [name, value] : this->values) {
    if (!wanted.contains(name))
      return 1 + wanted.size();
  }
  size_t command_count = 0;
  for (const auto& [name, value] : wanted) {
    const auto found = this->values.find(name);
    if (found == this->values.end() || found->second != value)
      ++command_count;
  }
  return command_count;
}

std::vector<TargetCommand> PooledConnection::SetupCommandsFor(
    const SessionContext& session_context) {
  std::vector<TargetCommand> commands;
  const SessionContext::Values& wanted = session_context.values();
  const bool has_extra_value = std::any_of(
      this->values.begin(), this->values.end(),
      [&](const auto& entry) { return !wanted.contains(entry.first); });
  if (has_extra_value) {
    TargetCommand reset;
    reset.kind = TargetCommandKind::kReset;
    commands.push_back(std::move(reset));
    this->values.clear();
    this->prepared.clear();
  }
  for (const auto& [name, value] : wanted) {
    auto& applied = this->values[name];
    if (applied == value && !applied.empty())
      continue;
    applied = value;
    TargetCommand set;
    set.kind = TargetCommandKind::kSet;
    set.name = name;
    set.value = value;
    commands.push_back(std::move(set));
  }
  return commands;
}

void PooledConnection::Close() {
  if (this->state == State::kClosed)
    return;
  this->state = State::kClosed;
  this->channel->Close();
  this->FailPending();
}

void PooledConnection::AddPending(Duration timeout, DidAnswer did_answer) {
  Pending entry;
  entry.did_answer = std::move(did_answer);
  entry.sent_at = this->scheduler.Now();
  entry.timer = this->scheduler.PostAfter(timeout, this->life.Wrap([this] {
    this->Fail(ConnectionFailure::kLost);
  }));
  this->pending.push_back(std::move(entry));
}

void PooledConnection::DidReceive(StatementAnswer answer) {
  if (this->state != State::kOpen)
    return;
  if (this->pending.empty()) {
    // Answers and commands no longer match.
    return this->Fail(ConnectionFailure::kLost);
  }
  this->last_answered_at = this->scheduler.Now();
  this->session_state = answer.state;
  Pending answered = std::move(this->pending.front());
  this->pending.pop_front();
  this->scheduler.Cancel(answered.timer);
  answered.did_answer(std::move(answer));
}

void PooledConnection::Fail(ConnectionFailure failure) {
  if (this->state == State::kClosed)
    return;
  // The owner may destroy this connection in the callback.
  const DidFail owner = this->did_fail;
  this->Close();
  owner(failure);
}

void PooledConnection::FailPending() {
  std::deque<Pending> lost;
  lost.swap(this->pending);
  for (Pending& entry : lost)
    this->scheduler.Cancel(entry.timer);
  for (Pending& entry : lost)
    entry.did_answer(std::nullopt);
}

}  // namespace kingcupmill
