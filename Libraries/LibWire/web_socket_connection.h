#ifndef LIBWIRE_WEB_SOCKET_CONNECTION_H_
#define LIBWIRE_WEB_SOCKET_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace kingcupmill {

// One WebSocket connection that carries binary messages. All members are used
// on the thread of its event loop.
class WebSocketConnection {
 public:
  virtual ~WebSocketConnection() = default;

  // Sends one message, or drops it if the connection is not open.
  virtual void Send(const std::vector<uint8_t>& message) = 0;

  // Closes the connection without a closing handshake; no handler is called
  // afterwards.
  virtual void Abort() = 0;
};

// Callbacks for the events of a connection, run on its event loop.
struct WebSocketHandlers {
  using Connection = std::shared_ptr<WebSocketConnection>;
  std::function<void(const Connection&)> did_open;
  std::function<void(const Connection&, const std::vector<uint8_t>&)>
      did_receive_message;
  // Also called when an outgoing connection could not be opened.
  std::function<void(const Connection&)> did_close;
};

}  // namespace kingcupmill

#endif  // LIBWIRE_WEB_SOCKET_CONNECTION_H_
