#ifndef LIBRELAY_RELAYING_STORE_H_
#define LIBRELAY_RELAYING_STORE_H_

#include <functional>
#include <string>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/random_source.h"
#include "LibPeer/peer_links.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// A RowStore that relays a change through another proxy when the store does not
// accept it from this one. A change carries its conditions, so a change that is
// sent twice takes effect once. The second attempt is then reported as not
// applied, and the caller has to read the table to see that the first one was.
class RelayingStore final : public RowStore {
 public:
  // Returns the addresses of the other proxies.
  using PeerAddresses = std::function<std::vector<std::string>()>;

  RelayingStore(RowStore& store,
                PeerLinks& peers,
                PeerAddresses peer_addresses,
                uint64_t seed);

  void Read(std::string_view table, DidRead did_read) override;
  void PollChanges(std::string_view table,
                   uint64_t version,
                   Duration wait,
                   DidRead did_read) override;
  void Change(std::string_view table,
              TableChange change,
              DidChange did_change) override;

  // Makes a change in the store for another proxy.
  void Handle(const StoreChangeQuery& query,
              const PeerLinks::SendAnswer& send_answer);

 private:
  // Completes with `direct_error`, the store's answer to this proxy, when no
  // other proxy gets the change through.
  void ChangeThroughPeer(std::string table,
                         TableChange change,
                         int attempts_left,
                         Error direct_error,
                         DidChange did_change);

  RowStore& store;
  PeerLinks& peers;
  PeerAddresses peer_addresses;
  SeededRandom random;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_RELAYING_STORE_H_
