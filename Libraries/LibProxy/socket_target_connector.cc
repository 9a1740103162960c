#include "LibProxy/socket_target_connector.h"

#include <utility>

#include "LibCore/error.h"
#include "LibTarget/target_codec.h"
#include "LibWire/event_loop.h"
#include "LibWire/web_socket_connection.h"

namespace kingcupmill {

namespace {

class SocketTargetConnection final : public TargetConnection {
 public:
  void Send(const TargetRequest& request) override {
    this->socket->Send(EncodeTargetRequest(request));
  }

  void Close() override {
    this->is_closed = true;
    this->handlers = {};
    this->socket->Abort();
  }

  void DidReceive(const std::vector<uint8_t>& bytes) {
    auto decoded = Capture([&] { return DecodeTargetResponse(bytes); });
    auto* response = std::get_if<TargetResponse>(&decoded);
    const auto current = this->handlers;
    if (response && current.did_receive)
      return current.did_receive(std::move(*response));
    // A target that sends a malformed response is treated as disconnected.
    if (!response)
      this->DidClose();
  }

  void DidOpen() {
    const auto current = this->handlers;
    if (current.did_open)
      current.did_open();
  }

  void DidClose() {
    const auto current = std::exchange(this->handlers, {});
    if (current.did_close)
      current.did_close();
  }

  std::shared_ptr<WebSocketConnection> socket;
  TargetConnectionHandlers handlers;
  bool is_closed = false;
};

}  // namespace

SocketTargetConnector::SocketTargetConnector(EventLoop& loop) : client(loop) {}

void SocketTargetConnector::SetTargets(
    const std::map<TargetName, Target>& targets) {
  this->addresses.clear();
  for (const auto& [name, target] : targets)
    this->addresses[name] = target.address;
}

std::shared_ptr<TargetConnection> SocketTargetConnector::Connect(
    const TargetName& target,
    TargetConnectionHandlers handlers) {
  auto connection = std::make_shared<SocketTargetConnection>();
  connection->handlers = std::move(handlers);
  WebSocketHandlers socket_handlers;
  const std::weak_ptr<SocketTargetConnection> weak_connection = connection;
  socket_handlers.did_open = [weak_connection](const auto&) {
    if (const auto strong_connection = weak_connection.lock())
      strong_connection->DidOpen();
  };
  socket_handlers.did_close = [weak_connection](const auto&) {
    if (const auto strong_connection = weak_connection.lock())
      strong_connection->DidClose();
  };
  socket_handlers.did_receive_message =
      [weak_connection](const auto&, const std::vector<uint8_t>& bytes) {
        if (const auto strong_connection = weak_connection.lock())
          strong_connection->DidReceive(bytes);
      };
  connection->socket =
      this->client.Connect(this->addresses[target], std::move(socket_handlers));
  return connection;
}

}  // namespace kingcupmill
