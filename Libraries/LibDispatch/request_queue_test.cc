#include "LibDispatch/request_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <numbers>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/virtual_scheduler.h"

namespace kingcupmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RouteLoad {
  int priority;
  Duration target_latency;
  Duration service_time;
  double per_second;
};

// The load of one group of deployment O.
constexpr int kUrgent = 0;
constexpr int kReadYourWrites = 1;
constexpr int kBoundedStale = 2;
const std::vector<RouteLoad> kRoutes = {
    {0, milliseconds(150), milliseconds(6), 18},
    {1, milliseconds(250), milliseconds(18), 85},
    {2, milliseconds(1000), milliseconds(30), 31},
};
constexpr int kCustomers = 20;
// The usual load occupies two thirds of these.
constexpr int kSlots = 4;
constexpr Duration kRun = seconds(20);

// Where the simulated load differs from the usual one; times are since the
// start of the run.
struct Pattern {
  std::function<double(int customer, Duration at)> demand = [](int, Duration) {
    return 1.0;
  };
  std::function<int(Duration at)> slots = [](Duration) { return kSlots; };
  std::function<double(Duration at)> service = [](Duration) { return 1.0; };
};

bool is_between(Duration at, Duration begin, Duration end) {
  return at >= begin && at < end;
}

enum class Order {
  // Requests name their customers.
  kFair,
  // The order without customers: route priority, due time, number.
  kWithoutCustomers,
};

struct Count {
  int offered = 0;
  int in_time = 0;
  int late = 0;
  int refused_on_arrival = 0;
  int expired = 0;
  int lost() const { return this->offered - this->in_time; }
  Count& operator+=(const Count& other) {
    this->offered += other.offered;
    this->in_time += other.in_time;
    this->late += other.late;
    this->refused_on_arrival += other.refused_on_arrival;
    this->expired += other.expired;
    return *this;
  }
};

struct Report {
  // By customer and route.
  std::map<std::pair<int, int>, Count> counts;
  std::vector<Duration> return_times;

  Count Sum(const std::function<bool(int customer, int route)>& is_wanted =
                [](int, int) { return true; }) const {
    Count sum;
    for (const auto& [key, count] : this->counts) {
      if (is_wanted(key.first, key.second))
        sum += count;
    }
    return sum;
  }
  Count OfRoute(int route) const {
    return this->Sum([route](int, int other) { return other == route; });
  }
  Count OfCustomer(int customer) const {
    return this->Sum([customer](int other, int) { return other == customer; });
  }
  Count WithoutCustomer(int customer) const {
    return this->Sum([customer](int other, int) { return other != customer; });
  }
};

// Returns the share of the load that each customer has; it falls as n^-1.2.
std::vector<double> Shares() {
  std::vector<double> shares;
  double sum = 0;
  for (int customer = 1; customer <= kCustomers; ++customer) {
    shares.push_back(std::pow(customer, -1.2));
    sum += shares.back();
  }
  for (double& share : shares)
    share /= sum;
  return shares;
}

// Plays a load pattern on one queue with slots, in steps of a millisecond.
Report Play(const Pattern& pattern, Order order) {
  SeededRandom random(11);
  const std::vector<double> shares = Shares();
  VirtualScheduler scheduler;
  Report result;
  struct Offered {
    int customer;
    int route;
  };
  std::map<RequestQueue::RequestNumber, Offered> offered;
  const auto count_of = [&](RequestQueue::RequestNumber number) -> Count& {
    const Offered& request = offered.at(number);
    return result.counts[{request.customer, request.route}];
  };
  RequestQueue queue(scheduler, [&](RequestQueue::RequestNumber number) {
    ++count_of(number).expired;
  });
  std::map<RequestQueue::RequestNumber, TimePoint> received_at;
  std::multiset<TimePoint> busy_until;
  RequestQueue::RequestNumber next = 1;
  double total_weight = 0;
  for (const RouteLoad& route : kRoutes)
    total_weight += 1.6 * route.per_second;

  const auto run_slots = [&](Duration at) {
    const TimePoint now = scheduler.Now();
    busy_until.erase(busy_until.begin(), busy_until.upper_bound(now));
    const int slots = pattern.slots(at);
    if (static_cast<int>(busy_until.size()) >= slots || queue.size() == 0)
      return;
    for (const auto number : queue.InOrder()) {
      if (static_cast<int>(busy_until.size()) >= slots)
        return;
      queue.Start(number, true);
      const RouteLoad& route =
          kRoutes[static_cast<size_t>(offered.at(number).route)];
      const TimePoint end = now + duration_cast<Duration>(route.service_time *
                                                          pattern.service(at));
      busy_until.insert(end);
      const bool is_in_time =
          end - received_at.at(number) <= route.target_latency;
      ++(is_in_time ? count_of(number).in_time : count_of(number).late);
    }
  };

  for (Duration at{}; at < kRun; at += milliseconds(1)) {
    scheduler.RunFor(milliseconds(1));
    run_slots(at);
    for (int customer = 0; customer < kCustomers; ++customer) {
      for (size_t route = 0; route < kRoutes.size(); ++route) {
        const double per_second = kRoutes[route].per_second *
                                  shares[static_cast<size_t>(customer)] *
                                  pattern.demand(customer, at);
        if (random.Below(1'000'000) >= static_cast<uint64_t>(per_second * 1000))
          continue;
        const auto number = next++;
        offered[number] = {customer, static_cast<int>(route)};
        received_at[number] = scheduler.Now();
        ++count_of(number).offered;
        DispatchRequest request;
        request.route.priority = kRoutes[route].priority;
        request.route.target_latency = kRoutes[route].target_latency;
        request.route.statement_timeout = seconds(2);
        request.received_at = scheduler.Now();
        if (order == Order::kFair) {
          request.customer.value = "customer-" + std::to_string(customer);
          request.customer_weight =
              total_weight * shares[static_cast<size_t>(customer)];
        }
        queue.Add(number, request, milliseconds(4));
        run_slots(at);
        if (const auto delay = queue.RemoveIfHopeless(number)) {
          ++count_of(number).refused_on_arrival;
          result.return_times.push_back(at + *delay);
        }
      }
    }
  }
  scheduler.RunFor(seconds(2));
  return result;
}

std::string Describe(const char* name, const Report& result) {
  std::string text = std::string(name) + ":";
  const auto add = [&](const std::string& label, const Count& count) {
    text += "\n  " + label + " offered " + std::to_string(count.offered) +
            " in time " + std::to_string(count.in_time) + " late " +
            std::to_string(count.late) + " refused " +
            std::to_string(count.refused_on_arrival) + " expired " +
            std::to_string(count.expired);
  };
  add("all", result.Sum());
  for (int route = 0; route < static_cast<int>(kRoutes.size()); ++route)
    add("route " + std::to_string(route), result.OfRoute(route));
  add("largest customer", result.OfCustomer(0));
  add("others", result.WithoutCustomer(0));
  add("others on route 2", result.Sum([](int customer, int route) {
    return customer != 0 && route == kBoundedStale;
  }));
  return text;
}

}  // namespace

TEST_CASE("admission under a burst of all customers and routes x2.6") {
  Pattern pattern;
  pattern.demand = [](int, Duration at) {
    return is_between(at, seconds(5), seconds(12)) ? 2.6 : 1.0;
  };
  const Report today = Play(pattern, Order::kWithoutCustomers);
  const Report fair = Play(pattern, Order::kFair);
  INFO(Describe("today", today));
  INFO(Describe("fair", fair));
  const Count all = fair.Sum();
  // Loses no more than the order without customers.
  CHECK(all.in_time * 100 >= today.Sum().in_time * 98);
  CHECK(fair.OfRoute(kUrgent).lost() <= today.OfRoute(kUrgent).lost());
  // The least urgent route gets the capacity that is left.
  CHECK(fair.OfRoute(kBoundedStale).in_time * 100 >=
        today.OfRoute(kBoundedStale).in_time * 96);
  // Nothing takes a slot that is answered too late.
  CHECK(all.late * 100 <= all.offered);
  // Every large customer loses about the same share.
  for (int customer = 0; customer < 5; ++customer) {
    CAPTURE(customer);
    const Count count = fair.OfCustomer(customer);
    CHECK(count.in_time * all.offered * 100 >=
          all.in_time * count.offered * 90);
  }
}

TEST_CASE("admission while the largest customer has 7.5 times its load") {
  Pattern pattern;
  pattern.demand = [](int customer, Duration at) {
    const bool is_hot =
        customer == 0 && is_between(at, seconds(5), milliseconds(11500));
    return is_hot ? 7.5 : 1.0;
  };
  const Report today = Play(pattern, Order::kWithoutCustomers);
  const Report fair = Play(pattern, Order::kFair);
  INFO(Describe("today", today));
  INFO(Describe("fair", fair));
  // The others lose nothing on the routes that their own load leaves room for.
  // On the least urgent route they lose what the more urgent requests of the
  // hot customer take, because the route's priority comes first.
  const auto is_other_urgent = [](int customer, int route) {
    return customer != 0 && route != kBoundedStale;
  };
  CHECK(today.Sum(is_other_urgent).lost() > 50);
  CHECK(fair.Sum(is_other_urgent).lost() * 500 <=
        fair.Sum(is_other_urgent).offered);
  CHECK(fair.WithoutCustomer(0).lost() * 100 <=
        today.WithoutCustomer(0).lost() * 60);
  // The slots stay in use.
  CHECK(fair.Sum().in_time * 100 >= today.Sum().in_time * 98);
  // Most of the excess is refused on arrival.
  const Count hot = fair.OfCustomer(0);
  CHECK(hot.refused_on_arrival * 2 > hot.lost());
  // Refused callers do not return together.
  std::map<int64_t, int> returns_by_10_ms;
  for (const Duration at : fair.return_times)
    ++returns_by_10_ms[at / milliseconds(10)];
  int most = 0;
  for (const auto& [at, returns] : returns_by_10_ms)
    most = std::max(most, returns);
  CHECK(fair.return_times.size() > 200);
  CHECK(most <= 8);
}

TEST_CASE("admission while callers change zone") {
  // The callers of half of the customers come from other zones and multiply
  // these customers' load here by three; their weights stay the same.
  Pattern pattern;
  pattern.demand = [](int customer, Duration at) {
    const bool has_moved_here =
        customer % 2 == 0 && is_between(at, seconds(5), seconds(13));
    return has_moved_here ? 3.0 : 1.0;
  };
  const Report today = Play(pattern, Order::kWithoutCustomers);
  const Report fair = Play(pattern, Order::kFair);
  INFO(Describe("today", today));
  INFO(Describe("fair", fair));
  const auto has_stayed = [](int customer, int) { return customer % 2 == 1; };
  CHECK(fair.Sum().in_time * 100 >= today.Sum().in_time * 98);
  CHECK(fair.Sum(has_stayed).lost() * 100 <= today.Sum(has_stayed).lost() * 75);
  // The customers that came are still served.
  for (int customer = 0; customer < kCustomers; customer += 2) {
    CAPTURE(customer);
    const Count count = fair.OfCustomer(customer);
    CHECK(count.in_time * 2 >= count.offered);
  }
}

TEST_CASE("admission under waves that are out of phase") {
  // Three sets of customers, each with a wave of 55% and 17 s, and 40% more
  // demand than usual.
  Pattern pattern;
  pattern.demand = [](int customer, Duration at) {
    const double cycles =
        std::chrono::duration<double>(at).count() / 17 + customer % 3 / 3.0;
    return 1.4 * (1 + 0.55 * std::sin(2 * std::numbers::pi * cycles));
  };
  const Report today = Play(pattern, Order::kWithoutCustomers);
  const Report fair = Play(pattern, Order::kFair);
  INFO(Describe("today", today));
  INFO(Describe("fair", fair));
  CHECK(fair.Sum().in_time * 100 >= today.Sum().in_time * 98);
  CHECK(fair.OfRoute(kUrgent).lost() <= today.OfRoute(kUrgent).lost() + 1);
  CHECK(fair.Sum().late * 100 <= fair.Sum().offered);
}

TEST_CASE("admission after half of the slots are lost") {
  Pattern pattern;
  pattern.slots = [](Duration at) {
    return is_between(at, seconds(5), seconds(11)) ? kSlots / 2 : kSlots;
  };
  const Report today = Play(pattern, Order::kWithoutCustomers);
  const Report fair = Play(pattern, Order::kFair);
  INFO(Describe("today", today));
  INFO(Describe("fair", fair));
  CHECK(fair.Sum().in_time * 100 >= today.Sum().in_time * 98);
  CHECK(fair.OfRoute(kUrgent).lost() * 100 <= fair.OfRoute(kUrgent).offered);
  CHECK(fair.Sum().late * 100 <= fair.Sum().offered);
}

TEST_CASE("admission while targets are slower by a factor of five") {
  Pattern pattern;
  pattern.service = [](Duration at) {
    return is_between(at, seconds(5), seconds(11)) ? 5.0 : 1.0;
  };
  const Report today = Play(pattern, Order::kWithoutCustomers);
  const Report fair = Play(pattern, Order::kFair);
  INFO(Describe("today", today));
  INFO(Describe("fair", fair));
  CHECK(fair.Sum().in_time * 100 >= today.Sum().in_time * 98);
  CHECK(fair.OfRoute(kUrgent).lost() <= today.OfRoute(kUrgent).lost());
  CHECK(fair.OfRoute(kReadYourWrites).in_time * 100 >=
        today.OfRoute(kReadYourWrites).in_time * 98);
}

TEST_CASE("a queue of requests") {
  VirtualScheduler scheduler;
  std::vector<RequestQueue::RequestNumber> expired;
  RequestQueue queue(scheduler, [&](RequestQueue::RequestNumber number) {
    expired.push_back(number);
  });
  DispatchRequest request;
  request.route.target_latency = milliseconds(200);
  request.received_at = scheduler.Now();
  queue.Add(1, request, milliseconds(4));

  SUBCASE("gives a request up at 65% of its latency target") {
    scheduler.RunFor(milliseconds(129));
    CHECK(queue.contains(1));
    scheduler.RunFor(milliseconds(1));
    CHECK_FALSE(queue.contains(1));
    CHECK(expired == std::vector<RequestQueue::RequestNumber>{1});
    CHECK(queue.expired_count() == 1);
  }
  SUBCASE("does not give up a request that was started or removed") {
    queue.Add(2, request, milliseconds(4));
    queue.Start(1, true);
    CHECK(queue.Remove(2));
    CHECK_FALSE(queue.Remove(2));
    scheduler.RunFor(seconds(1));
    CHECK(expired.empty());
  }
  SUBCASE("keeps a request that is queued again for the minimum wait") {
    scheduler.RunFor(milliseconds(129));
    queue.Start(1, true);
    queue.Add(1, request, milliseconds(4));
    scheduler.RunFor(milliseconds(3));
    CHECK(queue.contains(1));
    scheduler.RunFor(milliseconds(1));
    CHECK_FALSE(queue.contains(1));
  }
  SUBCASE("accepts any weight, because weights come from other proxies") {
    request.customer.value = "a";
    RequestQueue::RequestNumber number = 2;
    for (const double weight :
         {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()}) {
      request.customer_weight = weight;
      queue.Add(number++, request, milliseconds(4));
    }
    CHECK(queue.InOrder().size() == 5);
  }
}

}  // namespace kingcupmill
