#include "LibRelay/home_chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// A home that declines is draining or has changed its role. This is about how
// long such a change takes to become visible in the store.
constexpr Duration kDeclineBackoff = std::chrono::milliseconds(400);
// A home that failed is tried again by one statement after this delay; a
// process restarts within a second or two.
constexpr Duration kFailureBackoff = std::chrono::milliseconds(800);
// How many more unanswered queries than the least loaded home in its place a
// customer's home may have: about one for each of its connections to a target.
constexpr size_t kCustomerLoadMargin = 4;

}  // namespace

HomeChooser::HomeChooser(PlaceName place, uint64_t seed)
    : place(std::move(place)), seed(seed) {}

std::optional<std::string> HomeChooser::Choose(
    std::span<const Home> homes,
    const std::set<std::string>& excluded,
    const CustomerName& customer,
    TimePoint now) {
  using Cost = std::tuple<bool, size_t, uint64_t>;
  const auto is_available = [&](const Home& home) {
    const auto health = this->health_by_address.find(home.address);
    const bool is_backing_off = health != this->health_by_address.end() &&
                                now < health->second.excluded_until;
    return !is_backing_off && !excluded.contains(home.address);
  };
  // The unanswered queries of the least loaded home: in this proxy's own place,
  // and in the others.
  std::map<bool, size_t> least;
  for (const Home& home : homes) {
    if (!is_available(home))
      continue;
    const size_t load = this->in_flight(home.address);
    const auto known = least.try_emplace(home.place != this->place, load).first;
    known->second = std::min(known->second, load);
  }
  const Home* best = nullptr;
  Cost best_cost{};
  for (const Home& home : homes) {
    if (!is_available(home))
      continue;
    const bool is_elsewhere = home.place != this->place;
    size_t load = this->in_flight(home.address);
    if (!customer.value.empty() &&
        load <= least.at(is_elsewhere) + kCustomerLoadMargin)
      load = 0;
    const Cost cost{is_elsewhere, load, this->RankOf(home.address, customer)};
    if (best && best_cost < cost)
      continue;
    best = &home;
    best_cost = cost;
  }
  if (!best)
    return std::nullopt;
  return best->address;
}

uint64_t HomeChooser::RankOf(const std::string& address,
                             const CustomerName& customer) const {
  const uint64_t order_seed =
      customer.value.empty()
          ? this->seed
          : XXH64(customer.value.data(), customer.value.size(), 0);
  return XXH64(address.data(), address.size(), order_seed);
}

void HomeChooser::DidSend(const std::string& address, TimePoint now) {
  ++this->health_by_address[address].in_flight;
  ++this->unanswered;
  if (!this->silent_since)
    this->silent_since = now;
}

void HomeChooser::DidComplete(const std::string& address) {
  const auto health = this->health_by_address.find(address);
  KINGCUPMILL_VERIFY(health != this->health_by_address.end() &&
                     health->second.in_flight > 0);
  --health->second.in_flight;
  --this->unanswered;
}

void HomeChooser::DidReceiveAnswer(TimePoint now) {
  this->silent_since.reset();
  if (this->unanswered > 0)
    this->silent_since = now;
}

void HomeChooser::DidAnswer(const std::string& address, TimePoint now) {
  this->DidComplete(address);
  this->DidReceiveAnswer(now);
  this->health_by_address[address].excluded_until = TimePoint{};
}

void HomeChooser::DidDecline(const std::string& address, TimePoint now) {
  this->DidComplete(address);
  this->DidReceiveAnswer(now);
  this->health_by_address[address].excluded_until = now + kDeclineBackoff;
}

void HomeChooser::DidFail(const std::string& address, TimePoint now) {
  this->DidComplete(address);
  this->health_by_address[address].excluded_until = now + kFailureBackoff;
}

Duration HomeChooser::Silence(TimePoint now) const {
  return this->silent_since ? now - *this->silent_since : Duration(0);
}

size_t HomeChooser::in_flight(const std::string& address) const {
  const auto health = this->health_by_address.find(address);
  return health == this->health_by_address.end() ? 0 : health->second.in_flight;
}

}  // namespace kingcupmill
