#ifndef LIBPLATFORM_PLATFORM_ROW_H_
#define LIBPLATFORM_PLATFORM_ROW_H_

#include <cstdint>
#include <string>

namespace kingcupmill {

// One row of the platform's table.
struct PlatformRow {
  std::string value;
  // Changes with each write. A row that does not exist has version 0.
  uint64_t version = 0;
  friend bool operator==(const PlatformRow&, const PlatformRow&) = default;
};

// The result of a compare-and-set that the platform has answered.
enum class WriteOutcome { kWritten, kConflict };

}  // namespace kingcupmill

#endif  // LIBPLATFORM_PLATFORM_ROW_H_
