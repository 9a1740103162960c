#ifndef LIBGATEWAY_TABLE_COPIES_H_
#define LIBGATEWAY_TABLE_COPIES_H_

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

#include "LibCore/scheduler.h"
#include "LibDispatch/group_dispatcher.h"
#include "LibPeer/peer_query.h"
#include "LibTables/table_cache.h"

namespace kingcupmill {

// Exchanges copies of the store's tables with other proxies: makes them from
// this proxy's caches, and applies those that others have sent.
class TableCopies {
 public:
  struct Context {
    Scheduler& scheduler;
    TableCache& configuration;
    TableCache& targets;
    TableCache& coordination;
    // Returns the dispatcher of a group of which this proxy is a home, or null.
    std::function<GroupDispatcher*(const GroupName&)> find_dispatcher;
    // Returns the newest known log position of each group's primary.
    std::function<std::vector<PositionSampleCopy>()> position_samples;
  };

  explicit TableCopies(Context context);

  // Returns the versions of the three tables, as a StoreCopyQuery names them.
  std::vector<uint64_t> CachedVersions() const;

  // Answers a query with the rows that are newer than its versions.
  StoreCopyAnswer Make(const StoreCopyQuery& query) const;

  // Applies the copies of another proxy to a query sent at `requested_at`.
  void Apply(const StoreCopyAnswer& answer, TimePoint requested_at);

 private:
  std::array<TableCache*, 3> Caches() const;

  Context context;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_TABLE_COPIES_H_
