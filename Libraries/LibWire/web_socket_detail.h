#ifndef LIBWIRE_WEB_SOCKET_DETAIL_H_
#define LIBWIRE_WEB_SOCKET_DETAIL_H_

// Parts shared by the WebSocket client and server. Included only by their .cc
// files, which are compiled as C++17.

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "LibWire/web_socket_connection.h"

namespace kingcupmill {

// The largest message that is accepted on an outgoing connection, in bytes.
constexpr size_t kMaximumMessageBytes = 32U << 20U;
// The largest message that is accepted from a peer that has connected. The
// largest query has a statement of 1 MiB, once as text and once as its
// arguments, and the values of a session.
constexpr size_t kMaximumQueryBytes = (2U << 20U) + (256U << 10U);

// Splits "IP:port"; returns false if the port is missing or not a number.
inline bool SplitAddress(const std::string& address,
                         std::string& host,
                         std::string& port) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size())
    return false;
  host = address.substr(0, colon);
  port = address.substr(colon + 1);
  return port.find_first_not_of("0123456789") == std::string::npos &&
         port.size() <= 5;
}

// Adapts one websocketpp connection to WebSocketConnection.
template <typename Endpoint>
class ConnectionAdapter final
    : public WebSocketConnection,
      public std::enable_shared_from_this<ConnectionAdapter<Endpoint>> {
 public:
  using Native = typename Endpoint::connection_ptr;

  explicit ConnectionAdapter(Native native) : native(std::move(native)) {}

  // Forwards the events of the native connection to `handlers`. A longer
  // message closes the connection when its header arrives.
  void Attach(WebSocketHandlers handlers, size_t maximum_message_bytes) {
    this->handlers = std::move(handlers);
    auto self = this->shared_from_this();
    this->native->set_open_handler([self](auto) { self->DidOpen(); });
    this->native->set_fail_handler([self](auto) { self->DidClose(); });
    this->native->set_close_handler([self](auto) { self->DidClose(); });
    this->native->set_message_handler(
        [self](auto, const auto& message) { self->DidReceive(message); });
    this->native->set_max_message_size(maximum_message_bytes);
    this->native->set_pong_timeout(0);
  }

  void Send(const std::vector<uint8_t>& message) override {
    if (!this->native)
      return;
    this->native->send(message.data(), message.size(),
                       websocketpp::frame::opcode::binary);
  }

  void Abort() override {
    if (!this->native)
      return;
    this->handlers = {};
    websocketpp::lib::error_code ignored;
    this->native->terminate(ignored);
    this->native.reset();
  }

 private:
  void DidOpen() {
    if (this->handlers.did_open)
      this->handlers.did_open(this->shared_from_this());
  }

  void DidClose() {
    this->native.reset();
    const auto handler = std::exchange(this->handlers, {}).did_close;
    if (handler)
      handler(this->shared_from_this());
  }

  template <typename Message>
  void DidReceive(const Message& message) {
    const std::string& payload = message->get_payload();
    // The handler may call Abort(), which destroys this connection's handlers.
    const auto handler = this->handlers.did_receive_message;
    if (handler)
      handler(this->shared_from_this(),
              std::vector<uint8_t>(payload.begin(), payload.end()));
  }

  Native native;
  WebSocketHandlers handlers;
};

// Applies the settings that the client and the server share.
template <typename Endpoint, typename Context>
void InitializeEndpoint(Endpoint& endpoint, Context& context) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&context);
  // Disables Nagle's algorithm: small messages must not wait for the
  // acknowledgements of earlier ones.
  endpoint.set_tcp_post_init_handler([&endpoint](auto handle) {
    websocketpp::lib::error_code error;
    auto connection = endpoint.get_con_from_hdl(handle, error);
    if (error)
      return;
    websocketpp::lib::asio::error_code ignored;
    connection->get_raw_socket().set_option(
        websocketpp::lib::asio::ip::tcp::no_delay(true), ignored);
  });
}

}  // namespace kingcupmill

#endif  // LIBWIRE_WEB_SOCKET_DETAIL_H_
