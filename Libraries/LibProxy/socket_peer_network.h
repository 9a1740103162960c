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

// A PeerNetwork of WebSocket connections that carry CBOR messages. Each proxy
// opens a connection to a peer for its own requests on demand; the answers
// arrive on the same connection.
class SocketPeerNetwork final : public PeerNetwork {
 public:
  // Handles a forwarded request.
  using HandleForward = std::function<void(ClientRequest, Reply)>;
  // Handles any other message. SendAnswer sends a message back to its sender.
  using SendAnswer = std::function<void(const PeerMessage&)>;
  using HandleMessage = std::function<void(const PeerMessage&, SendAnswer)>;

  SocketPeerNetwork(EventLoop& loop,
                    HandleForward handle_forward,
                    HandleMessage handle_message);

  // Starts listening on `address` ("IP:port") and returns the port. Fails with
  // kUnavailable if it can't listen there.
  Result<uint16_t> Listen(const std::string& address);

  void SetMembers(const std::vector<Member>& members) override;

  void Forward(const VmName& to,
               ClientRequest request,
               DidAnswer did_answer) override;
  bool is_reachable(const VmName& vm) const override;

  void Send(const VmName& to, const PeerMessage& message) override;

  // The bytes of control messages sent and received, without forwarded requests
  // and their answers.
  uint64_t control_bytes() const { return this->control_byte_count; }

 private:
  struct PendingForward {
    DidAnswer did_answer;
    Scheduler::TimerId timer = 0;
  };
  struct PeerConnection {
    std::shared_ptr<WebSocketConnection> socket;
    bool is_open = false;
    // Messages to send once the connection is open.
    std::vector<std::vector<uint8_t>> unsent_messages;
    // Forwarded requests without an answer, by message number.
    std::map<uint64_t, PendingForward> pending_forwards;
  };

  PeerConnection& ConnectionTo(const VmName& vm);
  void Transmit(PeerConnection& connection, std::vector<uint8_t> bytes);
  void DidOpen(const VmName& vm);
  void DidClose(const VmName& vm);
  void DidReceiveAnswer(const VmName& vm, AnswerMessage message);
  void DidReceiveOnConnection(const VmName& vm,
                              const std::vector<uint8_t>& bytes);
  void DidReceiveFromPeer(const std::shared_ptr<WebSocketConnection>& socket,
                          const std::vector<uint8_t>& bytes);
  void ExpireForward(const VmName& vm, uint64_t number);

  EventLoop& loop;
  HandleForward handle_forward;
  HandleMessage handle_message;
  WebSocketClient client;
  WebSocketServer server;
  std::map<VmName, std::string> addresses;
  std::map<VmName, PeerConnection> connections;
  std::map<VmName, TimePoint> failed_at;
  uint64_t next_number = 1;
  uint64_t control_byte_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_SOCKET_PEER_NETWORK_H_
