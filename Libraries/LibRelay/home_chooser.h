#ifndef LIBRELAY_HOME_CHOOSER_H_
#define LIBRELAY_HOME_CHOOSER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// A proxy that serves a group: it has connections to the group's targets, and
// other proxies forward statements to it.
struct Home {
  std::string address;
  PlaceName place;
  friend bool operator==(const Home&, const Home&) = default;
};

// Chooses the home that a statement is forwarded to. Homes in this proxy's own
// place are preferred while one of them works. Within a place the home with the
// fewest unanswered queries of this proxy is chosen, so that a slow home gets
// fewer. Ties are broken by a hash seeded per proxy: each proxy keeps links to
// few homes, since links cost time to set up, and all proxies together spread
// evenly over the homes.
//
// The statements of a customer go to the first home in an order that is the
// same for all proxies, because a home has few connections to a target, each of
// which serves one customer. That home is passed over while it has clearly more
// unanswered queries of this proxy than another one.
class HomeChooser {
 public:
  HomeChooser(PlaceName place, uint64_t seed);

  // Returns the address of a home that is not in `excluded`, or nothing when
  // all homes are excluded or have recently failed or declined.
  std::optional<std::string> Choose(std::span<const Home> homes,
                                    const std::set<std::string>& excluded,
                                    const CustomerName& customer,
                                    TimePoint now);

  // Called when a query is sent to a home. Exactly one of DidAnswer(),
  // DidDecline() and DidFail() follows for each query.
  void DidSend(const std::string& address, TimePoint now);
  void DidAnswer(const std::string& address, TimePoint now);
  // The home does not accept work: it is draining or no longer a home.
  void DidDecline(const std::string& address, TimePoint now);
  // The home did not answer or could not be reached.
  void DidFail(const std::string& address, TimePoint now);

  // Returns the number of unanswered queries to the home.
  size_t in_flight(const std::string& address) const;

  // Returns how long all homes have been silent: the time since the first query
  // that followed the last answer of any home; zero without such a query.
  Duration Silence(TimePoint now) const;

 private:
  struct Health {
    size_t in_flight = 0;
    TimePoint excluded_until{};
  };

  // Returns the rank of a home among homes of equal load, specific to this
  // proxy, or to the customer if there is one.
  uint64_t RankOf(const std::string& address,
                  const CustomerName& customer) const;
  void DidComplete(const std::string& address);
  void DidReceiveAnswer(TimePoint now);

  PlaceName place;
  uint64_t seed;
  std::map<std::string, Health> health_by_address;
  // Unanswered queries to all homes.
  size_t unanswered = 0;
  std::optional<TimePoint> silent_since;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_HOME_CHOOSER_H_
