#include "LibPeer/socket_peer_links.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "LibWire/web_socket_connection.h"

namespace kingcupmill {

SocketPeerLinks::SocketPeerLinks(EventLoop& loop, HandleQuery handle_query)
    : loop(loop),
      handle_query(std::move(handle_query)),
      client(loop),
      server(loop, [this] {
        WebSocketHandlers handlers;
        handlers.did_receive_message = [this](
                                           const Connection& socket,
                                           const std::vector<uint8_t>& bytes) {
          this->DidReceiveQuery(socket, bytes);
        };
        return handlers;
      }()) {}

Result<uint16_t> SocketPeerLinks::Listen(const std::string& address) {
  std::string error;
  const uint16_t port = this->server.Listen(address, error);
  if (port == 0)
    return Fail(ErrorCode::kUnavailable, error);
  return port;
}

void SocketPeerLinks::Ask(const std::string& address,
                          const PeerQuery& query,
                          Duration timeout,
                          DidAnswer did_answer) {
  const uint64_t number = this->next_number++;
  Link& link = this->GetOrOpenLink(address);
  PendingQuery pending;
  pending.did_answer = std::move(did_answer);
  pending.timer =
      this->loop.PostAfter(timeout, this->life.Wrap([this, address, number] {
        this->DidTimeOut(address, number);
      }));
  link.pending_by_number.emplace(number, std::move(pending));
  std::vector<uint8_t> bytes = EncodeQuery(number, query);
  if (link.is_open)
    return link.socket->Send(bytes);
  link.unsent.push_back(std::move(bytes));
}

SocketPeerLinks::Link& SocketPeerLinks::GetOrOpenLink(
    const std::string& address) {
  Link& link = this->link_by_address[address];
  if (link.socket)
    return link;
  WebSocketHandlers handlers;
  handlers.did_open = [this, address](const Connection&) {
    this->DidOpen(address);
  };
  handlers.did_close = [this, address](const Connection&) {
    this->DropLink(address);
  };
  handlers.did_receive_message =
      [this, address](const Connection&, const std::vector<uint8_t>& bytes) {
        this->DidReceiveAnswer(address, bytes);
      };
  link.socket = this->client.Connect(address, std::move(handlers));
  return link;
}

void SocketPeerLinks::DidOpen(const std::string& address) {
  Link& link = this->link_by_address[address];
  link.is_open = true;
  for (const auto& bytes : std::exchange(link.unsent, {}))
    link.socket->Send(bytes);
}

void SocketPeerLinks::DropLink(const std::string& address) {
  auto dropped = this->link_by_address.extract(address);
  if (dropped.empty())
    return;
  if (dropped.mapped().socket)
    dropped.mapped().socket->Abort();
  // Queries on a link that never opened have not been sent.
  const std::optional<PeerAnswer> outcome =
      dropped.mapped().is_open ? std::nullopt
                               : std::optional<PeerAnswer>(NotSent{});
  for (auto& [number, pending] : dropped.mapped().pending_by_number) {
    this->loop.Cancel(pending.timer);
    pending.did_answer(outcome);
  }
}

void SocketPeerLinks::DidTimeOut(const std::string& address, uint64_t number) {
  const auto link = this->link_by_address.find(address);
  if (link == this->link_by_address.end() ||
      !link->second.pending_by_number.contains(number))
    return;
  // The connection may be dead without having been closed. The next query opens
  // a new one.
  this->DropLink(address);
}

void SocketPeerLinks::DidReceiveAnswer(const std::string& address,
                                       const std::vector<uint8_t>& bytes) {
  Result<DecodedPeerMessage> message = DecodePeerBytes(bytes);
  auto* answer = message ? std::get_if<NumberedAnswer>(&*message) : nullptr;
  if (!answer) {
    spdlog::warn("event=bad_peer_message from={}", address);
    return this->DropLink(address);
  }
  const auto link = this->link_by_address.find(address);
  if (link == this->link_by_address.end())
    return;
  auto answered = link->second.pending_by_number.extract(answer->number);
  if (answered.empty())
    return;
  this->loop.Cancel(answered.mapped().timer);
  answered.mapped().did_answer(std::move(answer->answer));
}

void SocketPeerLinks::DidReceiveQuery(const Connection& socket,
                                      const std::vector<uint8_t>& bytes) {
  Result<DecodedPeerMessage> message = DecodePeerBytes(bytes);
  const auto* query = message ? std::get_if<NumberedQuery>(&*message) : nullptr;
  if (!query) {
    spdlog::warn("event=bad_peer_message");
    return socket->Abort();
  }
  this->handle_query(
      query->query, [socket, number = query->number](const PeerAnswer& answer) {
        socket->Send(EncodeAnswer(number, answer));
      });
}

}  // namespace kingcupmill
