#ifndef LIBPROXY_SOCKET_PEER_NETWORK_H_
#define LIBPROXY_SOCKET_PEER_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/error.h"
#include "LibMembership/member.h"
#include "LibProxy/peer_message.h"
#include "LibProxy/peer_network.h"
#include "LibRequests/reply.h"
#include "LibWire/event_loop.h"
#include "LibWire/web_socket_client.h"
#include "LibWire/web_socket_server.h"

namespace kingcupmill {

// The links to other proxies: WebSockets that carry CBOR messages. Each proxy
// opens the links for its own requests when it needs them; answers come back on
// the same link.
class SocketPeerNetwork final : public PeerNetwork {
 public:
  // Handles a forwarded request.
  using HandleForward = std::function<void(ClientRequest, Reply)>;
  // Handles any other message; `answer` sends a message back on its link.
  using Answer = std::function<void(const PeerMessage&)>;
  using HandleMessage = std::function<void(const PeerMessage&, Answer)>;

  SocketPeerNetwork(EventLoop& loop,
                    HandleForward handle_forward,
                    HandleMessage handle_message);

  // Starts to listen on `address` ("IP:port"); returns the port.
  Result<uint16_t> Listen(const std::string& address);

  // Takes the addresses of the other proxies.
  void SetMembers(const std::vector<Member>& members) override;

  void Forward(const VmName& to,
               ClientRequest request,
               DidAnswer did_answer) override;
  bool is_reachable(const VmName& vm) const override;

  void Send(const VmName& to, const PeerMessage& message) override;

  // Bytes of control messages, without forwards and their answers.
  uint64_t control_bytes() const { return this->control_byte_count; }

 private:
  struct Pending {
    DidAnswer did_answer;
    Scheduler::TimerId timer = 0;
  };
  struct Link {
    std::shared_ptr<WebSocketConnection> socket;
    bool is_open = false;
    // Messages that wait for the link to open.
    std::vector<std::vector<uint8_t>> waiting;
    std::map<uint64_t, Pending> pending;
  };

  Link& LinkTo(const VmName& vm);
  void Transmit(Link& link, std::vector<uint8_t> bytes);
  void DidOpen(const VmName& vm);
  void DidClose(const VmName& vm);
  void DidReceiveAnswer(const VmName& vm, AnswerMessage message);
  void DidReceiveOnLink(const VmName& vm, const std::vector<uint8_t>& bytes);
  void DidReceiveFromPeer(const std::shared_ptr<WebSocketConnection>& socket,
                          const std::vector<uint8_t>& bytes);
  void ExpireForward(const VmName& vm, uint64_t number);

  EventLoop& loop;
  HandleForward handle_forward;
  HandleMessage handle_message;
  WebSocketClient client;
  WebSocketServer server;
  std::map<VmName, std::string> addresses;
  std::map<VmName, Link> links;
  std::map<VmName, TimePoint> failed_at;
  uint64_t next_number = 1;
  uint64_t control_byte_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_SOCKET_PEER_NETWORK_H_
