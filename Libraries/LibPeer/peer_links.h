#ifndef LIBPEER_PEER_LINKS_H_
#define LIBPEER_PEER_LINKS_H_

#include <functional>
#include <optional>
#include <string>

#include "LibCore/time.h"
#include "LibPeer/peer_query.h"

namespace kingcupmill {

// Questions to other proxies.
class PeerLinks {
 public:
  // The answer, or nothing when none came in time; NotSent when the question
  // did not leave this proxy.
  using DidAnswer = std::function<void(std::optional<PeerAnswer>)>;
  using Answer = std::function<void(const PeerAnswer&)>;
  using HandleQuery = std::function<void(const PeerQuery&, Answer)>;

  virtual ~PeerLinks() = default;

  // Asks the proxy at `address` ("IP:port").
  virtual void Ask(const std::string& address,
                   const PeerQuery& query,
                   Duration timeout,
                   DidAnswer did_answer) = 0;
};

}  // namespace kingcupmill

#endif  // LIBPEER_PEER_LINKS_H_
