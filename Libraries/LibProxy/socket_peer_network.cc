#include "LibProxy/socket_peer_network.h"

#include <utility>

#include "LibWire/web_socket_connection.h"

namespace kingcupmill {

namespace {

// A peer counts as unreachable for this long after its connection failed.
constexpr Duration kUnreachablePeriod = std::chrono::seconds(1);

}  // namespace

SocketPeerNetwork::SocketPeerNetwork(EventLoop& loop,
                                     HandleForward handle_forward,
                                     HandleMessage handle_message)
    : loop(loop),
      handle_forward(std::move(handle_forward)),
      handle_message(std::move(handle_message)),
      client(loop),
      server(loop, [this] {
        WebSocketHandlers handlers;
        handlers.did_receive_message =
            [this](const auto& socket, const std::vector<uint8_t>& bytes) {
              this->DidReceiveFromPeer(socket, bytes);
            };
        return handlers;
      }()) {}

Result<uint16_t> SocketPeerNetwork::Listen(const std::string& address) {
  std::string error;
  const uint16_t port = this->server.Listen(address, error);
  if (port == 0)
    return Fail(ErrorCode::kUnavailable, error);
  return port;
}

void SocketPeerNetwork::SetMembers(const std::vector<Member>& members) {
  this->addresses.clear();
  for (const Member& member : members)
    this->addresses[member.vm] = member.peer_address;
}

void SocketPeerNetwork::Forward(const VmName& to,
                                ClientRequest request,
                                DidAnswer did_answer) {
  if (!this->addresses.contains(to))
    return did_answer(ForwardFailure::kNotSent);
  const uint64_t number = this->next_number++;
  const Duration timeout = request.time_left;
  PeerConnection& connection = this->ConnectionTo(to);
  PendingForward pending_forward;
  pending_forward.did_answer = std::move(did_answer);
  pending_forward.timer = this->loop.PostAfter(
      timeout, [this, to, number] { this->ExpireForward(to, number); });
  connection.pending_forwards.emplace(number, std::move(pending_forward));
  this->Transmit(connection,
                 EncodePeerMessage(ForwardMessage{number, std::move(request)}));
}

bool SocketPeerNetwork::is_reachable(const VmName& vm) const {
  const auto failed = this->failed_at.find(vm);
  return failed == this->failed_at.end() ||
         this->loop.Now() - failed->second > kUnreachablePeriod;
}

void SocketPeerNetwork::Send(const VmName& to, const PeerMessage& message) {
  if (!this->addresses.contains(to))
    return;
  std::vector<uint8_t> bytes = EncodePeerMessage(message);
  this->control_byte_count += bytes.size();
  this->Transmit(this->ConnectionTo(to), std::move(bytes));
}

SocketPeerNetwork::PeerConnection& SocketPeerNetwork::ConnectionTo(
    const VmName& vm) {
  PeerConnection& connection = this->connections[vm];
  if (connection.socket)
    return connection;
  WebSocketHandlers handlers;
  handlers.did_open = [this, vm](const auto&) { this->DidOpen(vm); };
  handlers.did_close = [this, vm](const auto&) { this->DidClose(vm); };
  handlers.did_receive_message = [this, vm](const auto&,
                                            const std::vector<uint8_t>& bytes) {
    this->DidReceiveOnConnection(vm, bytes);
  };
  connection.socket =
      this->client.Connect(this->addresses[vm], std::move(handlers));
  return connection;
}

void SocketPeerNetwork::Transmit(PeerConnection& connection,
                                 std::vector<uint8_t> bytes) {
  if (connection.is_open)
    return connection.socket->Send(bytes);
  connection.unsent_messages.push_back(std::move(bytes));
}

void SocketPeerNetwork::DidOpen(const VmName& vm) {
  PeerConnection& connection = this->connections[vm];
  connection.is_open = true;
  this->failed_at.erase(vm);
  for (const auto& bytes : std::exchange(connection.unsent_messages, {}))
    connection.socket->Send(bytes);
}

void SocketPeerNetwork::DidClose(const VmName& vm) {
  auto closed = this->connections.extract(vm);
  if (closed.empty())
    return;
  this->failed_at[vm] = this->loop.Now();
  const auto failure = closed.mapped().is_open ? ForwardFailure::kLost
                                               : ForwardFailure::kNotSent;
  for (auto& [number, pending_forward] : closed.mapped().pending_forwards) {
    this->loop.Cancel(pending_forward.timer);
    pending_forward.did_answer(failure);
  }
}

void SocketPeerNetwork::ExpireForward(const VmName& vm, uint64_t number) {
  const auto connection = this->connections.find(vm);
  if (connection == this->connections.end())
    return;
  auto expired = connection->second.pending_forwards.extract(number);
  if (!expired.empty())
    expired.mapped().did_answer(ForwardFailure::kLost);
}

void SocketPeerNetwork::DidReceiveAnswer(const VmName& vm,
                                         AnswerMessage message) {
  auto answered =
      this->connections[vm].pending_forwards.extract(message.number);
  if (answered.empty())
    return;
  this->loop.Cancel(answered.mapped().timer);
  answered.mapped().did_answer(std::move(message.answer));
}

void SocketPeerNetwork::DidReceiveOnConnection(
    const VmName& vm,
    const std::vector<uint8_t>& bytes) {
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  auto* message = std::get_if<PeerMessage>(&decoded);
  if (!message)
    return;
  if (auto* answer = std::get_if<AnswerMessage>(message))
    return this->DidReceiveAnswer(vm, std::move(*answer));
  this->control_byte_count += bytes.size();
  this->handle_message(*message, [this, vm](const PeerMessage& reply) {
    this->Send(vm, reply);
  });
}

void SocketPeerNetwork::DidReceiveFromPeer(
    const std::shared_ptr<WebSocketConnection>& socket,
    const std::vector<uint8_t>& bytes) {
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  auto* message = std::get_if<PeerMessage>(&decoded);
  if (!message)
    return socket->Abort();
  if (auto* forward = std::get_if<ForwardMessage>(message)) {
    const uint64_t number = forward->number;
    return this->handle_forward(std::move(forward->request), [socket, number](
                                                                 ClientAnswer
                                                                     answer) {
      socket->Send(EncodePeerMessage(AnswerMessage{number, std::move(answer)}));
    });
  }
  this->control_byte_count += bytes.size();
  this->handle_message(*message, [this, socket](const PeerMessage& reply) {
    const std::vector<uint8_t> encoded = EncodePeerMessage(reply);
    this->control_byte_count += encoded.size();
    socket->Send(encoded);
  });
}

}  // namespace kingcupmill
