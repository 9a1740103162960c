#ifndef LIBRELAY_RELAYING_STORE_H_
#define LIBRELAY_RELAYING_STORE_H_

#include <functional>
#include <string>
#include <vector>

#include "LibCore/life_guard.h"
#include "LibCore/random_source.h"
#include "LibPeer/peer_links.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

// The store, with changes made through another proxy when it does not take them
// from this one. A change carries its conditions, so one that was performed
// twice takes effect once; the caller then sees in the table what happened.
class RelayingStore final : public RowStore {
 public:
  // Returns the addresses of the other proxies.
  using Others = std::function<std::vector<std::string>()>;

  RelayingStore(RowStore& store,
                PeerLinks& peers,
                Others others,
                uint64_t seed);

  void Read(std::string_view table, DidRead did_read) override;
  void Follow(std::string_view table,
              uint64_t version,
              Duration wait,
              DidRead did_read) override;
  void Change(std::string_view table,
              TableChange change,
              DidChange did_change) override;

  // Makes a change for another proxy.
  void Handle(const ChangeQuery& query, const PeerLinks::Answer& answer);

 private:
  void ChangeThroughOther(std::string table,
                          TableChange change,
                          int tries_left,
                          Error own_error,
                          DidChange did_change);

  RowStore& store;
  PeerLinks& peers;
  Others others;
  SeededRandom random;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_RELAYING_STORE_H_
