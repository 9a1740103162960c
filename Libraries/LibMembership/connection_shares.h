#ifndef LIBMEMBERSHIP_CONNECTION_SHARES_H_
#define LIBMEMBERSHIP_CONNECTION_SHARES_H_

#include <cstddef>

namespace kingcupmill {

// Divides the connections that one target accepts among the proxies.
//
// The homes of a group are the proxies that hold connections to its targets;
// the other proxies forward their requests to homes.
//
// A target keeps the connections of a proxy that lost power for some seconds,
// so after a power loss of all proxies their successors find these still
// occupied. Therefore all homes together get half of the connections, or one
// each where that is more. Half leaves the target room for the connections of
// the failed homes and of their successors.
class ConnectionShares {
 public:
  // `maximum` is the number of connections that one target accepts in total.
  explicit ConnectionShares(int maximum);

  // Returns how many connections all homes may hold together.
  int total_of_homes() const { return this->home_connections; }

  // Returns whether each of `members` proxies may be a home.
  bool can_all_be_homes(size_t members) const;

  // Returns how many homes to choose when not every proxy can be one.
  size_t HomeCount() const;

  // Returns how many connections each of `homes` proxies may hold, at least
  // one.
  size_t LimitPerHome(size_t homes) const;

  friend bool operator==(const ConnectionShares&,
                         const ConnectionShares&) = default;

 private:
  int available = 1;
  int home_connections = 1;
};

}  // namespace kingcupmill

#endif  // LIBMEMBERSHIP_CONNECTION_SHARES_H_
