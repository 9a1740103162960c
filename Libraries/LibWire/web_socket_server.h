#ifndef LIBWIRE_WEB_SOCKET_SERVER_H_
#define LIBWIRE_WEB_SOCKET_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "LibWire/web_socket_connection.h"

namespace kingcupmill {

class EventLoop;

// Accepts WebSocket connections on one event loop.
class WebSocketServer {
 public:
  WebSocketServer(EventLoop& loop, WebSocketHandlers handlers);
  ~WebSocketServer();
  WebSocketServer(const WebSocketServer&) = delete;
  WebSocketServer& operator=(const WebSocketServer&) = delete;

  // Starts to listen on `address` ("IP:port"; port 0 picks a free one).
  // Returns the port. On failure, returns 0 and sets `error` to the reason.
  uint16_t Listen(const std::string& address, std::string& error);

  // Stops listening; open connections stay open.
  void StopListening();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_WEB_SOCKET_SERVER_H_
