#ifndef LIBPROXY_PEER_NETWORK_H_
#define LIBPROXY_PEER_NETWORK_H_

#include <functional>
#include <variant>
#include <vector>

#include "LibCore/names.h"
#include "LibMembership/member.h"
#include "LibProxy/peer_message.h"
#include "LibRequests/client_answer.h"
#include "LibRequests/client_request.h"

namespace kingcupmill {

// Why a forwarded request has no answer.
enum class ForwardFailure {
  kNotSent,  // The request did not reach the other proxy.
  kLost,     // The request may have reached the other proxy and run.
};

using ForwardOutcome = std::variant<ClientAnswer, ForwardFailure>;

// Sends requests and control messages to other proxies.
class PeerNetwork {
 public:
  using DidAnswer = std::function<void(ForwardOutcome)>;

  virtual ~PeerNetwork() = default;

  // Forwards a request. `did_answer` is called once, at the latest when the
  // request's `time_left` has elapsed.
  virtual void Forward(const VmName& to,
                       ClientRequest request,
                       DidAnswer did_answer) = 0;

  // Sends a control message without a delivery guarantee.
  virtual void Send(const VmName& to, const PeerMessage& message) = 0;

  // Replaces the known addresses of the other proxies.
  virtual void SetMembers(const std::vector<Member>& members) = 0;

  // Returns whether this proxy currently considers `vm` reachable.
  virtual bool is_reachable(const VmName& vm) const = 0;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PEER_NETWORK_H_
