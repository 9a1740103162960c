#ifndef LIBGATEWAY_TABLE_COPIES_H_
#define LIBGATEWAY_TABLE_COPIES_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "LibCore/scheduler.h"
#include "LibDirectory/directory_codec.h"
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
    const DirectoryCodec& codec;
  };

  explicit TableCopies(Context context);

  // Returns the versions of the three tables, as a StoreCopyQuery names them.
  std::vector<uint64_t> CachedVersions() const;

  // Answers a query with the rows that are newer than its versions.
  StoreCopyAnswer Make(const StoreCopyQuery& query);

  // Returns the age of a table's copy in milliseconds, or "none" if the table
  // has never been read.
  static std::string FormatAgeMs(const TableCache& table, TimePoint now);

  // Applies the copies of another proxy to a query sent at `requested_at`.
  void Apply(const StoreCopyAnswer& answer, TimePoint requested_at);

 private:
  std::array<TableCache*, 3> Caches() const;

  // Replaces the keys of customers in rows of the configuration.
  void RemoveKeys(TableDelta& delta);

  Context context;
  // The last result of removing the keys, by the original value: the same row
  // is sent to many proxies.
  std::string original_value;
  std::string shared_value;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_TABLE_COPIES_H_
