#ifndef LIBPEER_PEER_LINKS_H_
#define LIBPEER_PEER_LINKS_H_

#include <functional>
#include <optional>
#include <string>

#include "LibCore/time.h"
#include "LibPeer/peer_query.h"

namespace kingcupmill {

// Sends queries to other proxies and receives their answers.
class PeerLinks {
 public:
  // Called with the answer, with NotSent when the query was not sent, or with
  // nothing when no answer came in time or the link was lost.
  using DidAnswer = std::function<void(std::optional<PeerAnswer>)>;
  // Sends the answer to a query that this proxy received.
  using SendAnswer = std::function<void(const PeerAnswer&)>;
  // Handles a query of another proxy; the answer may be sent later.
  using HandleQuery = std::function<void(const PeerQuery&, SendAnswer)>;

  virtual ~PeerLinks() = default;

  // Sends a query to the proxy at `address` ("IP:port") and calls `did_answer`
  // once.
  virtual void Ask(const std::string& address,
                   const PeerQuery& query,
                   Duration timeout,
                   DidAnswer did_answer) = 0;
};

}  // namespace kingcupmill

#endif  // LIBPEER_PEER_LINKS_H_
