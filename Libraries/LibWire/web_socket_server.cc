#include "LibWire/web_socket_server.h"

#include <list>
#include <websocketpp/server.hpp>

#include "LibWire/event_loop.h"
#include "LibWire/web_socket_detail.h"

namespace kingcupmill {

using Endpoint = websocketpp::server<websocketpp::config::asio>;
using Adapter = ConnectionAdapter<Endpoint>;

namespace {

// Several times the proxies of the largest deployment, each of which has one
// connection here, and some that have died unnoticed.
constexpr size_t kMaximumConnections = 256;
constexpr long kHandshakeTimeoutMs = 2'000;
// An HTTP request with a body is not a handshake.
constexpr size_t kMaximumHttpBodyBytes = 1'024;

}  // namespace

struct WebSocketServer::State {
  // Makes room for a connection that was just accepted: closes the one that has
  // waited longest for its handshake, or else the new one.
  void DidAccept(const websocketpp::connection_hdl& accepted) {
    this->connections.remove_if(
        [](const auto& handle) { return handle.expired(); });
    this->connections.push_back(accepted);
    if (this->connections.size() <= kMaximumConnections)
      return;
    for (auto handle = this->connections.begin();
         handle != this->connections.end(); ++handle) {
      websocketpp::lib::error_code error;
      const auto native = this->endpoint.get_con_from_hdl(*handle, error);
      if (error || native->get_state() == websocketpp::session::state::open)
        continue;
      // Reading and writing on it fails, which ends the connection.
      websocketpp::lib::asio::error_code ignored;
      native->get_raw_socket().close(ignored);
      this->connections.erase(handle);
      return;
    }
  }

  Endpoint endpoint;
  WebSocketHandlers handlers;
  // In the order of arrival.
  std::list<websocketpp::connection_hdl> connections;
};

WebSocketServer::WebSocketServer(EventLoop& loop, WebSocketHandlers handlers)
    : state(std::make_unique<State>()) {
  this->state->handlers = std::move(handlers);
  Endpoint& endpoint = this->state->endpoint;
  InitializeEndpoint(endpoint, loop.context());
  endpoint.set_reuse_addr(true);
  endpoint.set_open_handshake_timeout(kHandshakeTimeoutMs);
  endpoint.set_max_http_body_size(kMaximumHttpBodyBytes);
  endpoint.set_tcp_pre_init_handler(
      [this](auto handle) { this->state->DidAccept(handle); });
  endpoint.set_validate_handler([this](auto handle) {
    websocketpp::lib::error_code error;
    auto native = this->state->endpoint.get_con_from_hdl(handle, error);
    if (error)
      return false;
    std::make_shared<Adapter>(native)->Attach(this->state->handlers,
                                              kMaximumQueryBytes);
    return true;
  });
}

WebSocketServer::~WebSocketServer() = default;

uint16_t WebSocketServer::Listen(const std::string& address,
                                 std::string& error) {
  std::string host;
  std::string port;
  if (!SplitAddress(address, host, port)) {
    error = "address is not IP:port: " + address;
    return 0;
  }
  websocketpp::lib::error_code code;
  this->state->endpoint.listen(host, port, code);
  if (!code)
    this->state->endpoint.start_accept(code);
  if (code) {
    error = "cannot listen on " + address + ": " + code.message();
    return 0;
  }
  websocketpp::lib::asio::error_code local_error;
  return this->state->endpoint.get_local_endpoint(local_error).port();
}

void WebSocketServer::StopListening() {
  websocketpp::lib::error_code ignored;
  this->state->endpoint.stop_listening(ignored);
}

}  // namespace kingcupmill
