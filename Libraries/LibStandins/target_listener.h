#ifndef LIBSTANDINS_TARGET_LISTENER_H_
#define LIBSTANDINS_TARGET_LISTENER_H_

#include <map>
#include <memory>
#include <string>

#include "LibCore/error.h"
#include "LibStandins/standin_target.h"
#include "LibWire/web_socket_server.h"

namespace kingcupmill {

class EventLoop;
class StandinNetwork;

// Serves one StandinTarget over WebSockets. Messages pass through the
// StandinNetwork, whose latencies and partitions apply once the client has
// named its VM in the hello.
class TargetListener {
 public:
  TargetListener(EventLoop& loop,
                 StandinNetwork& network,
                 StandinTarget& target);

  // Listens on `address` ("IP:port") and returns the port. Fails with
  // kUnavailable when it cannot listen.
  Result<uint16_t> Listen(const std::string& address);

 private:
  struct Session {
    StandinTarget::ConnectionId connection = 0;
    // The client's VM; empty until the hello arrives.
    std::string vm;
  };
  using Socket = std::shared_ptr<WebSocketConnection>;

  void DidOpen(const Socket& socket);
  void DidClose(const Socket& socket);
  void DidReceive(const Socket& socket, const std::vector<uint8_t>& bytes);

  StandinNetwork& network;
  StandinTarget& target;
  std::map<Socket, Session> sessions;
  WebSocketServer server;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_TARGET_LISTENER_H_
