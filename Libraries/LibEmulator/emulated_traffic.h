#ifndef LIBEMULATOR_EMULATED_TRAFFIC_H_
#define LIBEMULATOR_EMULATED_TRAFFIC_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "LibPeer/peer_query.h"

namespace kingcupmill {

// Counts the messages between proxies, by kind of query and sender, and the
// calls to the store.
class EmulatedTraffic {
 public:
  struct Sum {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };
  // A query and its answer have the same kind.
  static constexpr size_t kKinds = std::variant_size_v<PeerQuery>;
  template <typename Query>
  static size_t KindOf() {
    return PeerQuery(Query()).index();
  }

  void DidSendQuery(const std::string& sender, size_t kind, size_t bytes) {
    this->Add(sender, kind, bytes);
  }
  void DidSendAnswer(const std::string& peer, size_t kind, size_t bytes) {
    this->Add(peer, kind, bytes);
  }
  void DidCallStore() { ++this->calls; }

  // Resets all counts.
  void Clear() { *this = EmulatedTraffic(); }

  // What all proxies together sent of a kind.
  Sum Total(size_t kind) const;
  // What the proxy that sent the most bytes of a kind sent.
  Sum Maximum(size_t kind) const;
  // What the proxy that sent the most control bytes sent. Control traffic is
  // all but statements and lent connections.
  Sum MaximumForControl() const;
  uint64_t store_calls() const { return this->calls; }

 private:
  void Add(const std::string& sender, size_t kind, size_t bytes);

  std::map<std::string, std::array<Sum, kKinds>> by_sender;
  uint64_t calls = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_TRAFFIC_H_
