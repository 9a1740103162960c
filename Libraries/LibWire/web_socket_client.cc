#include "LibWire/web_socket_client.h"

#include <websocketpp/client.hpp>

#include "LibWire/event_loop.h"
#include "LibWire/tcp_detail.h"
#include "LibWire/web_socket_detail.h"

namespace kingcupmill {

using Endpoint = websocketpp::client<websocketpp::config::asio_client>;
using Adapter = ConnectionAdapter<Endpoint>;

struct WebSocketClient::State {
  explicit State(EventLoop& loop) : loop(loop) {}
  EventLoop& loop;
  Endpoint endpoint;
};

WebSocketClient::WebSocketClient(EventLoop& loop)
    : state(std::make_unique<State>(loop)) {
  InitializeEndpoint(this->state->endpoint, loop.context());
}

WebSocketClient::~WebSocketClient() = default;

std::shared_ptr<WebSocketConnection> WebSocketClient::Connect(
    const std::string& address,
    WebSocketHandlers handlers) {
  // Any other text could be a name to look up or continue the request with
  // lines of its own.
  boost::asio::ip::tcp::endpoint endpoint;
  Endpoint::connection_ptr native;
  if (ParseEndpoint(address, endpoint)) {
    websocketpp::lib::error_code error;
    native =
        this->state->endpoint.get_connection("ws://" + address + "/", error);
  }
  auto adapter = std::make_shared<Adapter>(native);
  if (!native) {
    this->state->loop.Post([adapter, did_close = handlers.did_close] {
      if (did_close)
        did_close(adapter);
    });
    return adapter;
  }
  adapter->Attach(std::move(handlers), kMaximumMessageBytes);
  this->state->endpoint.connect(native);
  return adapter;
}

}  // namespace kingcupmill
