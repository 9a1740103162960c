#include "LibWire/web_socket_server.h"

#include <websocketpp/server.hpp>

#include "LibWire/event_loop.h"
#include "LibWire/web_socket_detail.h"

namespace kingcupmill {

using Endpoint = websocketpp::server<websocketpp::config::asio>;
using Adapter = ConnectionAdapter<Endpoint>;

struct WebSocketServer::State {
  Endpoint endpoint;
  WebSocketHandlers handlers;
};

WebSocketServer::WebSocketServer(EventLoop& loop, WebSocketHandlers handlers)
    : state(std::make_unique<State>()) {
  this->state->handlers = std::move(handlers);
  Endpoint& endpoint = this->state->endpoint;
  InitializeEndpoint(endpoint, loop.context());
  endpoint.set_reuse_addr(true);
  endpoint.set_validate_handler([this](auto handle) {
    websocketpp::lib::error_code error;
    auto native = this->state->endpoint.get_con_from_hdl(handle, error);
    if (error)
      return false;
    std::make_shared<Adapter>(native)->Attach(this->state->handlers);
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
