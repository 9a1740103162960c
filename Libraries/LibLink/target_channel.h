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
enum class ConnectionFailure {
  // The connection was refused, reset or closed, or timed out.
  kLost,
  // The target has reached its connection limit.
  kConnectionLimit,
  // Another server listens at the address.
  kWrongServer,
};

// The address of a target and the identity expected there.
struct TargetEndpoint {
  GroupName group;
  TargetName target;
  // "IP:port".
  std::string address;
  // The customer under whose name a connection is opened; empty to open it
  // under the name of this VM.
  CustomerName customer = {};
  friend bool operator==(const TargetEndpoint&,
                         const TargetEndpoint&) = default;
};

// What the owner of a channel is notified of.
struct ChannelHandlers {
  // The target has accepted the connection; the position is the end of its log.
  std::function<void(std::optional<LogPoint>)> did_open;
  // The answer to the oldest unanswered command.
  std::function<void(StatementAnswer)> did_receive;
  // The channel has ended. Called last, and not if the owner closed it.
  std::function<void(ConnectionFailure)> did_fail;
};

// One connection to a target. Answers arrive in the order of the commands.
class TargetChannel {
 public:
  virtual ~TargetChannel() = default;

  // Sends the commands in one write.
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
                                              ChannelHandlers handlers) = 0;
};

// The two ways to connect to a target.
struct TargetDialers {
  // Opens a connection of this proxy.
  TargetDialer& own;
  // Borrows a connection of another proxy.
  TargetDialer& borrowed;
};

}  // namespace kingcupmill

#endif  // LIBLINK_TARGET_CHANNEL_H_
