#ifndef LIBEMULATOR_EMULATED_TRAFFIC_H_
#define LIBEMULATOR_EMULATED_TRAFFIC_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "LibPeer/peer_query.h"

namespace kingcupmill {

// Counts what proxies say to each other, by the kind of question and the
// sender, and the calls that they make to the store.
class EmulatedTraffic {
 public:
  struct Sum {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };
  // Questions and the answers to them share a kind.
  static constexpr size_t kKinds = std::variant_size_v<PeerQuery>;
  template <typename Query>
  static size_t KindOf() {
    return PeerQuery(Query()).index();
  }

  void DidAsk(const std::string& asker, size_t kind, size_t bytes) {
    this->Add(asker, kind, bytes);
  }
  void DidAnswer(const std::string& peer, size_t kind, size_t bytes) {
    this->Add(peer, kind, bytes);
  }
  void DidCallStore() { ++this->calls; }

  // Forgets what was counted so far.
  void Clear() { *this = EmulatedTraffic(); }

  // What all proxies sent of a kind.
  Sum Total(size_t kind) const;
  // What the proxy that sent most of a kind sent.
  Sum Most(size_t kind) const;
  // What the busiest proxy sent for control: all but statements and lent
  // connections.
  Sum MostForControl() const;
  uint64_t store_calls() const { return this->calls; }

 private:
  void Add(const std::string& sender, size_t kind, size_t bytes);

  std::map<std::string, std::array<Sum, kKinds>> by_sender;
  uint64_t calls = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_TRAFFIC_H_
