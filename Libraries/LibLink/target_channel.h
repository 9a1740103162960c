#ifndef LIBLINK_TARGET_CHANNEL_H_
#define LIBLINK_TARGET_CHANNEL_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "LibCore/names.h"
#include "LibLink/target_command.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// Why a channel has ended.
enum class LinkFailure {
  // The connection was refused, reset, closed or timed out.
  kLost,
  // The target has as many connections as it takes.
  kConnectionLimit,
  // Another server stands at the address.
  kOtherServer,
};

// Where a target listens and who is expected there.
struct TargetEndpoint {
  GroupName group;
  TargetName target;
  // "IP:port".
  std::string address;
  friend bool operator==(const TargetEndpoint&,
                         const TargetEndpoint&) = default;
};

// What the owner of a channel is told.
struct LinkHandlers {
  // The target has accepted the connection; its log ends at the position.
  std::function<void(std::optional<LogPoint>)> did_open;
  // The answer to the oldest unanswered command.
  std::function<void(StatementAnswer)> did_receive;
  // The last event of a channel that was not closed by its owner.
  std::function<void(LinkFailure)> did_fail;
};

// One connection to a target. Answers come in the order of the commands.
class TargetChannel {
 public:
  virtual ~TargetChannel() = default;

  // Sends commands in one piece.
  virtual void Send(std::span<const TargetCommand> commands) = 0;

  // Ends the connection; no handler is called afterwards.
  virtual void Close() = 0;
};

// Opens channels.
class TargetDialer {
 public:
  virtual ~TargetDialer() = default;

  // Starts to connect; no handler is called before this returns.
  virtual std::unique_ptr<TargetChannel> Dial(const TargetEndpoint& endpoint,
                                              LinkHandlers handlers) = 0;
};

// The two ways to a target.
struct TargetDialers {
  // A connection of this proxy.
  TargetDialer& own;
  // A connection that another proxy lends.
  TargetDialer& borrowed;
};

}  // namespace kingcupmill

#endif  // LIBLINK_TARGET_CHANNEL_H_
