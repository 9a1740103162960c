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

// A proxy that has connections to a group's targets.
struct Home {
  std::string address;
  PlaceName place;
  friend bool operator==(const Home&, const Home&) = default;
};

// Chooses the home that a statement is forwarded to: of this proxy's own place
// while one of them works, and there the one with the fewest questions that
// this proxy waits for, so that a slow home gets less. Among equals each proxy
// has an order of its own: it keeps few links to others, which cost time to
// set up, and all proxies together spread evenly.
class HomeChooser {
 public:
  HomeChooser(PlaceName place, uint64_t seed);

  // Returns the address of a home that is not in `avoided`, or nothing when all
  // are avoided or have failed lately.
  std::optional<std::string> Choose(std::span<const Home> homes,
                                    const std::set<std::string>& avoided,
                                    TimePoint now);

  void DidSend(const std::string& address, TimePoint now);
  // Each sending is followed by one of these.
  void DidAnswer(const std::string& address, TimePoint now);
  // The home does not take work: it drains, or is no home any more.
  void DidDecline(const std::string& address, TimePoint now);
  // It did not answer, or could not be reached.
  void DidFail(const std::string& address, TimePoint now);

  size_t in_flight(const std::string& address) const;

  // How long all homes have been silent: from the first question after the last
  // answer of any of them.
  Duration Silence(TimePoint now) const;

 private:
  struct Health {
    size_t in_flight = 0;
    TimePoint passed_over_until{};
  };

  // The place of a home in this proxy's order.
  uint64_t RankOf(const std::string& address) const;
  void DidEnd(const std::string& address);
  void DidHear(TimePoint now);

  PlaceName place;
  uint64_t seed;
  std::map<std::string, Health> health_by_address;
  // Questions to all homes that have no answer.
  size_t unanswered = 0;
  std::optional<TimePoint> silent_since;
};

}  // namespace kingcupmill

#endif  // LIBRELAY_HOME_CHOOSER_H_
