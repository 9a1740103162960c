#ifndef LIBGATEWAY_REFRESH_TIMING_H_
#define LIBGATEWAY_REFRESH_TIMING_H_

#include <algorithm>

#include "LibCore/time.h"
#include "LibTables/store_timing.h"

namespace kingcupmill {

// How the copies of the store's tables are refreshed, and how long that takes
// after open connections have fallen silent while new ones work. The sums must
// stay below the time in which a configuration has to be in force.

// The wait of a long poll of the coordination table. Each completed one renews
// the leases, so it must be well below their length.
inline constexpr Duration kLeasePollInterval = std::chrono::milliseconds(1200);
// The wait of a long poll of the configuration and of the targets.
inline constexpr Duration kLongPollInterval = std::chrono::milliseconds(2200);
// A call on a new connection to the store or to another proxy is answered
// within this time.
inline constexpr Duration kAnswerTime = std::chrono::milliseconds(100);

// A reader of the store answers those behind it whenever it has read the
// coordination table, or after this wait.
inline constexpr Duration kReaderPollWait = std::chrono::milliseconds(1500);
inline constexpr Duration kReaderPollAllowance = std::chrono::milliseconds(600);
// A query for copies that are wanted at once.
inline constexpr Duration kCopyTimeout = std::chrono::milliseconds(600);

// The ages of a table's copy that tell that it is not being refreshed.
struct StalenessLimits {
  // Copies are then requested from another proxy.
  Duration reading_store;
  Duration behind_reader;
  // A proxy behind a reader then reads the store itself.
  Duration fallback;
};

// A copy is at most as old as the wait of its polls. Behind a reader, what the
// reader learns without a change arrives with its next read of the coordination
// table.
inline constexpr Duration kStalenessMargin = std::chrono::milliseconds(400);
inline constexpr Duration kReaderDelay = std::chrono::milliseconds(300);
// Longer than a silence of all connections lasts at a proxy behind a reader, so
// that such proxies do not all read the store after it.
inline constexpr Duration kFallbackAge = std::chrono::milliseconds(4000);
inline constexpr StalenessLimits kCoordinationLimits = {
    .reading_store = kLeasePollInterval + kStalenessMargin,
    .behind_reader = kLeasePollInterval + kStalenessMargin + kReaderDelay,
    .fallback = kFallbackAge};
inline constexpr StalenessLimits kLongPollLimits = {
    .reading_store = kLongPollInterval + kStalenessMargin,
    .behind_reader = kLongPollInterval + kLeasePollInterval + kStalenessMargin,
    .fallback = kFallbackAge + kStalenessMargin};

// At a proxy that reads the store: the poll that ends first has all tables read
// again on new connections.
constexpr Duration RefreshAfterSilence() {
  return kLeasePollInterval + kLongPollAllowance + kAnswerTime;
}
// The same if the connection of one table alone is silent.
constexpr Duration RefreshAfterSilenceOfOneTable() {
  return kLongPollInterval + kLongPollAllowance + kAnswerTime;
}
// At a proxy behind a reader that falls silent at the same time: its poll ends,
// and the reader answers the next one once it has a newer copy.
constexpr Duration RefreshBehindReader() {
  return std::max(kReaderPollWait + kReaderPollAllowance,
                  RefreshAfterSilence()) +
         kAnswerTime;
}
// The same if that reader has failed: it is asked once more, and so is the
// other reader, on a connection that is silent too and then on a new one.
constexpr Duration RefreshBehindFailedReader() {
  return RefreshBehindReader() + 2 * kCopyTimeout;
}

}  // namespace kingcupmill

#endif  // LIBGATEWAY_REFRESH_TIMING_H_
