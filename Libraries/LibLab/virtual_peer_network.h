#ifndef LIBLAB_VIRTUAL_PEER_NETWORK_H_
#define LIBLAB_VIRTUAL_PEER_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "LibProxy/peer_network.h"
#include "LibRequests/reply.h"
#include "LibStandins/standin_network.h"

namespace kingcupmill {

// Connects one proxy to its peers in memory and on virtual time. Messages are
// encoded to CBOR and decoded again on the way.
class VirtualPeerNetwork final : public PeerNetwork {
 public:
  // The functions of a proxy that handle incoming messages.
  struct Endpoint {
    std::function<void(ClientRequest, Reply)> handle_forward;
    std::function<void(const PeerMessage&,
                       std::function<void(const PeerMessage&)>)>
        handle_message;
  };
  // The running proxies; shared by all networks of a VirtualWorld.
  using Directory = std::map<VmName, Endpoint>;

  VirtualPeerNetwork(Scheduler& scheduler,
                     StandinNetwork& network,
                     Directory& directory,
                     VmName vm);

  void Forward(const VmName& to,
               ClientRequest request,
               DidAnswer did_answer) override;
  void Send(const VmName& to, const PeerMessage& message) override;
  void SetMembers(const std::vector<Member>& members) override;
  bool is_reachable(const VmName& vm) const override;

 private:
  // Delivers an encoded message to `to`, or drops it if that proxy is not
  // running by then.
  void Transmit(const VmName& from,
                const VmName& to,
                std::vector<uint8_t> bytes);

  Scheduler& scheduler;
  StandinNetwork& network;
  Directory& directory;
  VmName vm;
  std::vector<Member> members;
};

}  // namespace kingcupmill

#endif  // LIBLAB_VIRTUAL_PEER_NETWORK_H_
