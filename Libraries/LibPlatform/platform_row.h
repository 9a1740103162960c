#ifndef LIBPLATFORM_PLATFORM_ROW_H_
#define LIBPLATFORM_PLATFORM_ROW_H_

#include <cstdint>
#include <string>

namespace kingcupmill {

// One row of the platform's table.
struct PlatformRow {
  std::string value;
  // Changes with each write; 0 for a row that does not exist.
  uint64_t version = 0;
  friend bool operator==(const PlatformRow&, const PlatformRow&) = default;
};

// What became of a compare-and-set whose answer has arrived.
enum class WriteOutcome { kWritten, kConflict };

}  // namespace kingcupmill

#endif  // LIBPLATFORM_PLATFORM_ROW_H_
