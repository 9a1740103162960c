#ifndef LIBPROXY_SOCKET_TARGET_CONNECTOR_H_
#define LIBPROXY_SOCKET_TARGET_CONNECTOR_H_

#include <map>
#include <string>

#include "LibArrangement/arrangement.h"
#include "LibTarget/target_connector.h"
#include "LibWire/web_socket_client.h"

namespace kingcupmill {

class EventLoop;

// Opens connections to the targets of the arrangement over WebSockets.
class SocketTargetConnector final : public TargetConnector {
 public:
  explicit SocketTargetConnector(EventLoop& loop);

  // Sets the target addresses to use for new connections.
  void SetTargets(const std::map<TargetName, Target>& targets);

  std::shared_ptr<TargetConnection> Connect(
      const TargetName& target,
      TargetConnectionHandlers handlers) override;

 private:
  WebSocketClient client;
  std::map<TargetName, std::string> addresses;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_SOCKET_TARGET_CONNECTOR_H_
