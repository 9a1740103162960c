#ifndef LIBLINK_POOLED_CONNECTION_H_
#define LIBLINK_POOLED_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibLink/target_channel.h"
#include "LibStatement/session_context.h"

namespace kingcupmill {

// One connection to a target, with the session values and prepared statements
// that are set up on it. A connection that fails or times out is closed for
// good; commands without an answer then never get one.
class PooledConnection {
 public:
  // Receives the answer, or nothing if the connection was lost before it
  // arrived.
  using DidAnswer = std::function<void(std::optional<StatementAnswer>)>;
  // Receives the end of the target's log when the connection is accepted.
  using DidOpen = std::function<void(std::optional<LogPoint>)>;
  // Called when the connection fails, but not after Close().
  using DidFail = std::function<void(ConnectionFailure)>;

  PooledConnection(Scheduler& scheduler,
                   TargetDialer& dialer,
                   const TargetEndpoint& endpoint,
                   DidOpen did_open,
                   DidFail did_fail);

  // Sends one command. If no answer arrives within `timeout`, the connection is
  // closed.
  void Send(TargetCommand command, Duration timeout, DidAnswer did_answer);

  // Sends the commands that make the session on the target equal to
  // `session_context`, prepares the statement of a kExecute command unless that
  // is done, and sends `command`, all in one write. The connection is closed if
  // the setup fails.
  void SendInSession(const SessionContext& session_context,
                     TargetCommand command,
                     Duration timeout,
                     DidAnswer did_answer);

  // Clears session values and prepared statements on the target.
  void Reset(Duration timeout, DidAnswer did_answer);

  // Sends commands from another proxy unchanged. What they set up is not
  // tracked, so Reset() must be called before any other use.
  void Relay(std::vector<TargetCommand> commands,
             Duration timeout,
             std::function<void(std::optional<std::vector<StatementAnswer>>)>
                 did_answer);

  // Returns how many commands SendInSession() would send to set up the values
  // of `session_context`.
  size_t SetupCommandCount(const SessionContext& session_context) const;

  // Closes the connection; unanswered commands are called back with nothing.
  void Close();

  // The customer under whose name the connection was opened; empty if that is
  // the name of this VM.
  const CustomerName& customer() const { return this->customer_name; }
  // When the target accepted the connection.
  TimePoint opened_at() const { return this->was_opened_at; }
  bool is_open() const { return this->state == State::kOpen; }
  bool is_closed() const { return this->state == State::kClosed; }
  bool is_idle() const { return this->is_open() && this->pending.empty(); }
  // Whether the target has a transaction open on this connection.
  bool is_in_transaction() const {
    return this->session_state != SessionState::kIdle;
  }
  TimePoint last_answer_at() const { return this->last_answered_at; }
  // When the oldest command without an answer was sent.
  std::optional<TimePoint> unanswered_since() const {
    if (this->pending.empty())
      return std::nullopt;
    return this->pending.front().sent_at;
  }

  // Returns the name under which `shape` is prepared at targets.
  static std::string PreparedNameOf(const PreparedShape& shape);

 private:
  enum class State { kOpening, kOpen, kClosed };
  struct Pending {
    DidAnswer did_answer;
    Scheduler::TimerId timer = 0;
    TimePoint sent_at{};
  };

  void AddPending(Duration timeout, DidAnswer did_answer);
  void DidReceive(StatementAnswer answer);
  void Fail(ConnectionFailure failure);
  void FailPending();
  std::vector<TargetCommand> SetupCommandsFor(
      const SessionContext& session_context);

  Scheduler& scheduler;
  CustomerName customer_name;
  DidOpen did_open;
  DidFail did_fail;
  std::unique_ptr<TargetChannel> channel;
  State state = State::kOpening;
  SessionState session_state = SessionState::kIdle;
  SessionContext::Values values;
  std::set<PreparedShape> prepared;
  std::deque<Pending> pending;
  TimePoint was_opened_at{};
  TimePoint last_answered_at;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBLINK_POOLED_CONNECTION_H_
