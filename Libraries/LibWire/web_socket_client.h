#ifndef LIBWIRE_WEB_SOCKET_CLIENT_H_
#define LIBWIRE_WEB_SOCKET_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "LibWire/web_socket_connection.h"

namespace kingcupmill {

class EventLoop;

// Opens outgoing WebSocket connections on one event loop.
class WebSocketClient {
 public:
  explicit WebSocketClient(EventLoop& loop);
  ~WebSocketClient();
  WebSocketClient(const WebSocketClient&) = delete;
  WebSocketClient& operator=(const WebSocketClient&) = delete;

  // Starts to connect to `address` ("IP:port") and reports the outcome through
  // `handlers` later. An address that cannot be parsed is reported through
  // did_close.
  std::shared_ptr<WebSocketConnection> Connect(const std::string& address,
                                               WebSocketHandlers handlers);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_WEB_SOCKET_CLIENT_H_
