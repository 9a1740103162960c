#ifndef LIBDIRECTORY_DIRECTORY_CODEC_H_
#define LIBDIRECTORY_DIRECTORY_CODEC_H_

#include <string>
#include <vector>

#include "LibCore/error.h"
#include "LibDirectory/route_table.h"
#include "LibDirectory/target_entry.h"
#include "LibTables/table_follower.h"

namespace kingcupmill {

// Where the store keeps the configuration and the targets, and how to read
// them.
class DirectoryCodec {
 public:
  virtual ~DirectoryCodec() = default;

  virtual std::string configuration_table() const = 0;
  virtual std::string targets_table() const = 0;

  // Fails with kNotFound when nothing is declared yet, and with kInvalidInput
  // when it cannot be read.
  virtual Result<RouteTable> DecodeRoutes(
      const TableFollower::Rows& rows) const = 0;

  // Entries that cannot be read are logged and left out.
  virtual std::vector<TargetEntry> DecodeTargets(
      const TableFollower::Rows& rows) const = 0;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_DIRECTORY_CODEC_H_
