#include "LibStandins/target_listener.h"

#include <utility>

#include "LibStandins/standin_network.h"
#include "LibTarget/target_codec.h"
#include "LibWire/event_loop.h"

namespace kingcupmill {

TargetListener::TargetListener(EventLoop& loop,
                               StandinNetwork& network,
                               StandinTarget& target)
    : network(network), target(target), server(loop, [this] {
        WebSocketHandlers handlers;
        handlers.did_open = [this](const Socket& socket) {
          this->DidOpen(socket);
        };
        handlers.did_close = [this](const Socket& socket) {
          this->DidClose(socket);
        };
        handlers.did_receive_message =
            [this](const Socket& socket, const std::vector<uint8_t>& bytes) {
              this->DidReceive(socket, bytes);
            };
        return handlers;
      }()) {}

Result<uint16_t> TargetListener::Listen(const std::string& address) {
  std::string error;
  const uint16_t port = this->server.Listen(address, error);
  if (port == 0)
    return Fail(ErrorCode::kUnavailable, error);
  return port;
}

void TargetListener::DidOpen(const Socket& socket) {
  const auto connection = this->target.Open(
      [this, socket](const TargetResponse& response) {
        const auto session = this->sessions.find(socket);
        if (session == this->sessions.end())
          return;
        this->network.Deliver(this->target.name().value, session->second.vm,
                              [socket, response] {
                                socket->Send(EncodeTargetResponse(response));
                              });
      },
      [this, socket] {
        this->sessions.erase(socket);
        socket->Abort();
      });
  if (!connection)
    return socket->Abort();
  this->sessions[socket].connection = *connection;
}

void TargetListener::DidClose(const Socket& socket) {
  const auto session = this->sessions.extract(socket);
  if (!session.empty())
    this->target.Close(session.mapped().connection);
}

void TargetListener::DidReceive(const Socket& socket,
                                const std::vector<uint8_t>& bytes) {
  const auto session = this->sessions.find(socket);
  if (session == this->sessions.end())
    return;
  auto decoded = Capture([&] { return DecodeTargetRequest(bytes); });
  auto* request = std::get_if<TargetRequest>(&decoded);
  if (!request) {
    this->DidClose(socket);
    return socket->Abort();
  }
  if (request->operation == TargetOperation::kHello)
    session->second.vm = request->proposer;
  const auto connection = session->second.connection;
  this->network.Deliver(session->second.vm, this->target.name().value,
                        [this, connection, request = std::move(*request)] {
                          this->target.Receive(connection, request);
                        });
}

}  // namespace kingcupmill
