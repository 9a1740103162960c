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
  kNotSent,  // It did not reach the other proxy.
  kLost,     // It may have.
};

using ForwardOutcome = std::variant<ClientAnswer, ForwardFailure>;

// Sends requests to other proxies.
class PeerNetwork {
 public:
  using DidAnswer = std::function<void(ForwardOutcome)>;

  virtual ~PeerNetwork() = default;

  // Forwards a request; the outcome comes at the latest when the request's
  // time is over.
  virtual void Forward(const VmName& to,
                       ClientRequest request,
                       DidAnswer did_answer) = 0;

  // Sends a control message; it may get lost.
  virtual void Send(const VmName& to, const PeerMessage& message) = 0;

  // Takes the addresses of the other proxies.
  virtual void SetMembers(const std::vector<Member>& members) = 0;

  // Whether `vm` answered lately, as far as this proxy knows.
  virtual bool is_reachable(const VmName& vm) const = 0;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PEER_NETWORK_H_
