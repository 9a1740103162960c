#include "LibMembership/connection_shares.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// Connections of a target that are kept for proxies that join or come back.
constexpr int kReserved = 2;
// Where there are more proxies than connections, a home has this many to each
// target: statements of many proxies share them, and a transaction that rests
// on one leaves others.
constexpr int kOfHome = 4;
// Whoever replaces a primary waits for each home, so they are no more than
// this, even where each proxy could have a connection.
constexpr size_t kMostHomesOfAll = 16;

}  // namespace

ConnectionShares::ConnectionShares(int maximum)
    : shared(std::max(maximum - kReserved, 1)),
      held_by_homes(std::max(this->shared / 2, 1)) {}

bool ConnectionShares::suffices_for_all(size_t members) const {
  return members <=
         std::min(static_cast<size_t>(this->shared), kMostHomesOfAll);
}

size_t ConnectionShares::HomeCount() const {
  return static_cast<size_t>(std::max(this->held_by_homes / kOfHome, 1));
}

size_t ConnectionShares::LimitOfHome(size_t homes) const {
  const size_t limit =
      static_cast<size_t>(this->held_by_homes) / std::max<size_t>(homes, 1);
  return std::max<size_t>(limit, 1);
}

}  // namespace kingcupmill
