#ifndef LIBPEER_SOCKET_PEER_LINKS_H_
#define LIBPEER_SOCKET_PEER_LINKS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/lifetime_guard.h"
#include "LibPeer/peer_links.h"
#include "LibWire/event_loop.h"
#include "LibWire/web_socket_client.h"
#include "LibWire/web_socket_server.h"

namespace kingcupmill {

// PeerLinks over WebSockets that carry CBOR. A link is opened when it is first
// needed and dropped when a query on it is not answered in time.
class SocketPeerLinks final : public PeerLinks {
 public:
  SocketPeerLinks(EventLoop& loop, HandleQuery handle_query);

  // Starts to listen on `address` ("IP:port") and returns the port. Fails with
  // kUnavailable.
  Result<uint16_t> Listen(const std::string& address);

  void Ask(const std::string& address,
           const PeerQuery& query,
           Duration timeout,
           DidAnswer did_answer) override;

 private:
  using Connection = std::shared_ptr<WebSocketConnection>;
  struct PendingQuery {
    DidAnswer did_answer;
    Scheduler::TimerId timer = 0;
  };
  struct Link {
    Connection socket;
    bool is_open = false;
    // Encoded queries that are sent when the link opens.
    std::vector<std::vector<uint8_t>> unsent;
    std::map<uint64_t, PendingQuery> pending_by_number;
  };

  Link& GetOrOpenLink(const std::string& address);
  void DidOpen(const std::string& address);
  void DropLink(const std::string& address);
  void DidTimeOut(const std::string& address, uint64_t number);
  void DidReceiveAnswer(const std::string& address,
                        const std::vector<uint8_t>& bytes);
  void DidReceiveQuery(const Connection& socket,
                       const std::vector<uint8_t>& bytes);

  EventLoop& loop;
  HandleQuery handle_query;
  WebSocketClient client;
  WebSocketServer server;
  std::map<std::string, Link> link_by_address;
  uint64_t next_number = 1;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBPEER_SOCKET_PEER_LINKS_H_
