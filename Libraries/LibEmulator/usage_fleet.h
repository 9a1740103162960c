#ifndef LIBEMULATOR_USAGE_FLEET_H_
#define LIBEMULATOR_USAGE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/virtual_scheduler.h"
#include "LibDirectory/customer_table.h"
#include "LibDispatch/event_log.h"
#include "LibPeer/peer_links.h"
#include "LibUsage/usage_service.h"

namespace kingcupmill {

// A fleet of proxies with usage services on virtual time, for tests: callers'
// demand, a network that can be cut, and a membership that each proxy reads
// with a delay. Counts what is admitted.
class UsageFleet {
 public:
  struct Totals {
    uint64_t offered = 0;
    uint64_t admitted = 0;
    uint64_t refused = 0;
    double refused_share() const {
      return this->offered == 0 ? 0
                                : static_cast<double>(this->refused) /
                                      static_cast<double>(this->offered);
    }
  };

  UsageFleet(size_t size, size_t zones, uint64_t seed);
  ~UsageFleet();

  // Sets a customer's limit; proxies know it after up to `delay`.
  void SetLimit(const std::string& customer,
                UsageLimit limit,
                Duration delay = Duration(0));
  // Sets limits that proxies know after ApplyLimits().
  void AddLimit(const std::string& customer, UsageLimit limit);
  void ApplyLimits(Duration delay = Duration(0));
  // Sets the operations a second that a customer's callers send to one proxy.
  // They arrive at random times.
  void SetDemand(const std::string& customer, size_t proxy, double rate);
  // Spreads a demand evenly over these proxies and ends it at all others.
  void SpreadDemand(const std::string& customer,
                    const std::vector<size_t>& on,
                    double rate);
  void SetDemandFactor(double factor) { this->demand_factor = factor; }
  void RunFor(Duration duration);

  size_t size() const { return this->nodes.size(); }
  size_t ZoneOf(size_t proxy) const { return proxy % this->zones; }
  std::vector<size_t> ProxiesOf(size_t zone) const;
  std::vector<size_t> AllProxies() const;
  size_t HolderOf(const std::string& customer) const;

  // The process ends, and starts again after `down`. The others see that it is
  // gone after `detection`, if it is down for longer.
  void Kill(size_t proxy,
            std::optional<Duration> down,
            Duration detection = std::chrono::seconds(3));
  // Deregisters, ends, and starts and registers again after `down`.
  void Restart(size_t proxy, Duration down);
  // The process does nothing for a while.
  void Freeze(size_t proxy, Duration duration);
  // Messages between the two sides, and reads of the membership by the side of
  // `isolated`, fail for a while.
  void Cut(const std::set<size_t>& isolated, Duration duration);
  void AddProxy();

  const Totals& totals(const std::string& customer) const {
    return this->totals_by_customer.at(customer);
  }
  void ClearTotals();
  // Operations admitted in the sliding window of 5 s with the most of them.
  uint64_t MaximumInWindow(const std::string& customer) const;
  // The bound for that.
  static uint64_t Bound(const UsageLimit& limit) {
    return static_cast<uint64_t>((5 * limit.rate + limit.burst) * 1.1 + 20);
  }
  // Forgets what was admitted so far, for MaximumInWindow().
  void ClearAdmitted();
  // Operations admitted from this time on, as times since the fleet's start.
  const std::vector<TimePoint>& admissions(const std::string& customer) const {
    return this->admitted_at.at(customer);
  }
  TimePoint now() const { return this->scheduler.Now(); }
  uint64_t messages() const { return this->message_count; }
  uint64_t message_bytes() const { return this->byte_count; }

 private:
  class Links;
  struct Node;

  std::string AddressOf(size_t proxy) const;
  PlaceName PlaceOf(size_t proxy) const;
  bool is_cut(size_t one, size_t other) const;
  void Start(size_t proxy);
  // Lets a proxy read the membership, and schedules its next read.
  void ReadMembers(size_t proxy);
  void Offer(const std::string& customer, size_t proxy);
  void ScheduleOffer(const std::string& customer,
                     size_t proxy,
                     uint64_t generation);
  double RandomShare();
  CustomerTable Table() const;

  size_t zones;
  VirtualScheduler scheduler;
  SeededRandom random;
  std::vector<std::unique_ptr<Node>> nodes;
  // Registered and not gone.
  std::set<size_t> registered;
  std::set<size_t> isolated;
  TimePoint cut_until{};
  std::map<std::string, UsageLimit> limits;
  struct Demand {
    double rate = 0;
    uint64_t generation = 0;
  };
  std::map<std::pair<std::string, size_t>, Demand> demands;
  double demand_factor = 1;
  std::map<std::string, Totals> totals_by_customer;
  std::map<std::string, std::vector<TimePoint>> admitted_at;
  uint64_t message_count = 0;
  uint64_t byte_count = 0;
  uint64_t next_incarnation = 1;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_USAGE_FLEET_H_
