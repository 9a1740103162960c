#ifndef LIBDISPATCH_ZONE_BALANCER_H_
#define LIBDISPATCH_ZONE_BALANCER_H_

#include <cstdint>
#include <optional>

#include "LibCore/time.h"

namespace kingcupmill {

// Decides for one group which reads, or forwarded statements, leave the zone of
// this proxy, from this proxy's own measurements only.
//
// While answers in the zone take about as long as in calm times, it decides
// nothing: the cheapest target is used, with the cost of the way between zones
// added. While they take longer, the zone is busy, and:
// - A read waits a little for a connection to a busy target if that costs less
//   than a free target that is slow or in another zone.
// - Only a share of the reads may leave for targets whose latency is not
//   known. The share moves in small steps at intervals that differ between
//   proxies, so that the proxies of a zone do not all move at once towards
//   targets that looked free.
class ZoneBalancer {
 public:
  // The cost of a round trip to another zone and of the bytes that it carries.
  static constexpr Duration kCrossingCost = std::chrono::milliseconds(6);
  // A read waits for a connection for at most this. With 50 ms, 0.2% more reads
  // were lost in a group without enough slots, because slow ones stayed unused.
  static constexpr Duration kMaximumHold = std::chrono::milliseconds(12);

  // The cheapest usable target with a free connection.
  struct Pick {
    // The expected latency and, for a target elsewhere, kCrossingCost.
    Duration cost{};
    bool is_elsewhere = false;
    // Whether its latency was measured recently, and not assumed.
    bool is_measured = true;
  };
  enum class Decision {
    kTakePick,
    // Take the cheapest target in the zone.
    kStay,
    // Wait for a connection.
    kWait,
  };

  // `seed` differs between proxies and between groups.
  explicit ZoneBalancer(uint64_t seed);

  // Records the answer to a request, `elapsed` after the request was received.
  void DidAnswer(bool is_elsewhere, Duration elapsed, TimePoint now);
  // Records that a target or home elsewhere did not serve a request.
  void DidFailElsewhere();

  // Decides for a read that has waited for `waited`. `busy_cost` is that of the
  // cheapest usable target without a free connection, like Pick::cost;
  // `can_stay` tells whether a usable target in the zone has a free connection.
  Decision Decide(const Pick& pick,
                  std::optional<Duration> busy_cost,
                  bool can_stay,
                  Duration waited,
                  TimePoint now);
  // Decides whether a forwarded statement leaves the zone although a home in it
  // works.
  bool TakeForwardElsewhere(TimePoint now);
  // Records where a request was sent.
  void DidSend(bool is_elsewhere);

  // Whether requests currently wait in the zone.
  bool is_home_busy() const { return this->is_busy; }
  // The share of requests that may leave a busy zone for targets of unknown
  // latency, or for homes.
  double allowed_share() const { return this->share; }
  // The share of the recent requests that left the zone.
  double actual_share() const { return this->recent_share; }
  // The average time of answers in the zone and elsewhere.
  double home_ms() const { return this->home.ms; }
  double elsewhere_ms() const { return this->elsewhere.ms; }
  uint64_t departures() const { return this->departure_count; }

 private:
  struct Average {
    double ms = 0;
    int samples = 0;
    TimePoint updated_at{};
    void Add(Duration elapsed, TimePoint now);
    // Whether it is recent and of enough answers.
    bool is_known(TimePoint now) const;
  };

  void Step(TimePoint now);
  void UpdateIsBusy(TimePoint now);
  // Takes the credit for one request; false if there is none.
  bool TakeCredit();

  uint64_t random;
  Average home;
  Average elsewhere;
  // The latency in the zone while nothing waits; zero until it is known.
  double calm_ms = 0;
  bool is_busy = false;
  double share = 0;
  double recent_share = 0;
  // Requests that may leave now.
  double credit = 0;
  TimePoint next_step_at{};
  uint64_t departure_count = 0;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_ZONE_BALANCER_H_
