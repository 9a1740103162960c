#ifndef LIBMEMBERSHIP_CONNECTION_SHARES_H_
#define LIBMEMBERSHIP_CONNECTION_SHARES_H_

#include <cstddef>

namespace kingcupmill {

// How the connections that one target takes are shared among proxies.
//
// A target keeps the connections of a proxy that lost its power for seconds, so
// when all proxies lose it at once, the successors find them taken. Therefore
// all homes together hold half of what the target takes: those of the lost and
// those of their successors fit beside each other.
class ConnectionShares {
 public:
  // `maximum` is how many connections one target takes of all callers.
  explicit ConnectionShares(int maximum);

  // Connections that all homes hold together.
  int held() const { return this->held_by_homes; }

  // Whether each of `members` proxies may be a home.
  bool suffices_for_all(size_t members) const;

  // How many homes to choose when not every proxy is one.
  size_t HomeCount() const;

  // How many connections each of `homes` proxies may hold; one at least.
  size_t LimitOfHome(size_t homes) const;

  friend bool operator==(const ConnectionShares&,
                         const ConnectionShares&) = default;

 private:
  int shared = 1;
  int held_by_homes = 1;
};

}  // namespace kingcupmill

#endif  // LIBMEMBERSHIP_CONNECTION_SHARES_H_
