#ifndef LIBTABLES_STORE_TIMING_H_
#define LIBTABLES_STORE_TIMING_H_

#include "LibCore/time.h"

namespace kingcupmill {

// A call of the store that has no response by then has failed. A response takes
// 4 ms, and some hundred when the store is slow.
inline constexpr Duration kStoreCallTimeout = std::chrono::milliseconds(1200);
// A long poll fails this long after its wait.
inline constexpr Duration kLongPollAllowance = std::chrono::milliseconds(600);

}  // namespace kingcupmill

#endif  // LIBTABLES_STORE_TIMING_H_
