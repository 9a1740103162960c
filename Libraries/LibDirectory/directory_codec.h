#ifndef LIBDIRECTORY_DIRECTORY_CODEC_H_
#define LIBDIRECTORY_DIRECTORY_CODEC_H_

#include <string>
#include <vector>

#include "LibCore/error.h"
#include "LibDirectory/route_table.h"
#include "LibDirectory/target_entry.h"
#include "LibTables/table_cache.h"

namespace kingcupmill {

// The names of the store's tables for the configuration and the targets, and
// the decoding of their rows.
class DirectoryCodec {
 public:
  virtual ~DirectoryCodec() = default;

  virtual std::string configuration_table() const = 0;
  virtual std::string targets_table() const = 0;

  // Fails with kNotFound when the store has no configuration yet, and with
  // kInvalidInput when the configuration is malformed.
  virtual Result<RouteTable> DecodeRoutes(
      const TableCache::Rows& rows) const = 0;

  // Returns the value of a configuration row as it may be sent to other
  // proxies. DecodeRoutes() decodes it to the same routes, but it contains no
  // keys of customers.
  virtual std::string RemoveKeys(const std::string& value) const {
    return value;
  }

  // Logs and skips malformed entries.
  virtual std::vector<TargetEntry> DecodeTargets(
      const TableCache::Rows& rows) const = 0;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_DIRECTORY_CODEC_H_
