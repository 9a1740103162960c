#ifndef LIBLINK_TARGET_LINK_H_
#define LIBLINK_TARGET_LINK_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibLink/target_channel.h"
#include "LibStatement/session_record.h"

namespace kingcupmill {

// One connection to a target, with what is set up on it. A link that fails or
// times out is closed for good: what it carried is never answered later.
class TargetLink {
 public:
  // The answer, or nothing when the link was lost before it came.
  using DidAnswer = std::function<void(std::optional<StatementAnswer>)>;
  using DidOpen = std::function<void(std::optional<LogPoint>)>;
  using DidFail = std::function<void(LinkFailure)>;

  TargetLink(Scheduler& scheduler,
             TargetDialer& dialer,
             const TargetEndpoint& endpoint,
             DidOpen did_open,
             DidFail did_fail);

  // Sends one command. A link that has not answered after `timeout` is closed.
  void Send(TargetCommand command, Duration timeout, DidAnswer did_answer);

  // Sends what makes the session on the target equal to `record`, with the
  // statement `name` prepared when it is not empty, and `command` behind it in
  // the same piece. When the setting up fails the link is closed.
  void SendFor(const SessionRecord& record,
               TargetCommand command,
               Duration timeout,
               DidAnswer did_answer);

  // Clears what is set up on the target.
  void Reset(Duration timeout, DidAnswer did_answer);

  // Sends commands that another proxy has prepared, as they are. What they set
  // up is not known here; Reset() must follow before other use.
  void Relay(std::vector<TargetCommand> commands,
             Duration timeout,
             std::function<void(std::optional<std::vector<StatementAnswer>>)>
                 did_answer);

  // Returns how many commands would set up `record` here.
  size_t DistanceTo(const SessionRecord& record) const;

  // Ends the link; unanswered commands are told that it was lost.
  void Close();

  bool is_open() const { return this->state == State::kOpen; }
  bool is_closed() const { return this->state == State::kClosed; }
  bool is_idle() const { return this->is_open() && this->pending.empty(); }
  // Whether the target holds a transaction open on this link.
  bool is_in_transaction() const {
    return this->session_state != SessionState::kIdle;
  }
  TimePoint last_answer_at() const { return this->answered_at; }
  // When the oldest command without an answer was sent.
  std::optional<TimePoint> unanswered_since() const {
    if (this->pending.empty())
      return std::nullopt;
    return this->pending.front().sent_at;
  }

  // Returns the name under which `shape` is prepared at targets.
  static std::string NameOf(const PreparedShape& shape);

 private:
  enum class State { kOpening, kOpen, kClosed };
  struct Pending {
    DidAnswer did_answer;
    Scheduler::TimerId timer = 0;
    TimePoint sent_at{};
  };

  void Enqueue(Duration timeout, DidAnswer did_answer);
  void DidReceive(StatementAnswer answer);
  void DidLose(LinkFailure failure);
  void FailPending();
  std::vector<TargetCommand> CommandsFor(const SessionRecord& record);

  Scheduler& scheduler;
  DidOpen did_open;
  DidFail did_fail;
  std::unique_ptr<TargetChannel> channel;
  State state = State::kOpening;
  SessionState session_state = SessionState::kIdle;
  SessionRecord::Values values;
  std::set<PreparedShape> prepared;
  std::deque<Pending> pending;
  TimePoint answered_at;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBLINK_TARGET_LINK_H_
