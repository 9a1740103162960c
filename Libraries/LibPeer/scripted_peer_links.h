#ifndef LIBPEER_SCRIPTED_PEER_LINKS_H_
#define LIBPEER_SCRIPTED_PEER_LINKS_H_

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "LibPeer/peer_links.h"

namespace kingcupmill {

// PeerLinks for tests, which answer the queries themselves.
class ScriptedPeerLinks final : public PeerLinks {
 public:
  struct PendingQuery {
    std::string address;
    PeerQuery query;
    Duration timeout;
    DidAnswer did_answer;
  };

  void Ask(const std::string& address,
           const PeerQuery& query,
           Duration timeout,
           DidAnswer did_answer) override {
    this->pending_queries.push_back(
        PendingQuery{address, query, timeout, std::move(did_answer)});
  }

  // Answers the oldest query.
  void Answer(std::optional<PeerAnswer> answer) {
    const PendingQuery pending = this->TakeOldest();
    pending.did_answer(std::move(answer));
  }

  // Removes and returns the oldest query, which is answered later or never.
  PendingQuery TakeOldest() {
    PendingQuery pending = std::move(this->pending_queries.front());
    this->pending_queries.pop_front();
    return pending;
  }

  // Returns the oldest query, which must be a `Query`.
  template <typename Query>
  const Query& Oldest() const {
    return std::get<Query>(this->pending_queries.front().query);
  }

  std::deque<PendingQuery> pending_queries;
};

}  // namespace kingcupmill

#endif  // LIBPEER_SCRIPTED_PEER_LINKS_H_
