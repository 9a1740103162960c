#include "LibMembership/connection_shares.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// Connections of a target that are reserved for proxies that join or restart.
constexpr int kReservedConnections = 2;
// Connections of a home to each target when not every proxy is a home. Requests
// of many proxies share them, and an idle transaction that occupies one leaves
// the others free.
constexpr int kConnectionsPerHome = 4;
// Upper bound on homes where every proxy is one, even if the connections would
// suffice for more: a handover waits for each home.
constexpr size_t kMaximumHomes = 16;

}  // namespace

ConnectionShares::ConnectionShares(int maximum)
    : available(std::max(maximum - kReservedConnections, 1)),
      home_connections(std::max(this->available / 2, 1)) {}

bool ConnectionShares::can_all_be_homes(size_t members) const {
  return members <=
         std::min(static_cast<size_t>(this->available), kMaximumHomes);
}

size_t ConnectionShares::HomeCount() const {
  return static_cast<size_t>(
      std::max(this->home_connections / kConnectionsPerHome, 1));
}

size_t ConnectionShares::LimitPerHome(size_t homes) const {
  const size_t limit =
      static_cast<size_t>(this->home_connections) / std::max<size_t>(homes, 1);
  return std::max<size_t>(limit, 1);
}

}  // namespace kingcupmill
