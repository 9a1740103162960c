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

}  // namespace

HomeChooser::HomeChooser(PlaceName place, uint64_t seed)
    : place(std::move(place)), seed(seed) {}

std::optional<std::string> HomeChooser::Choose(
    std::span<const Home> homes,
    const std::set<std::string>& excluded,
    TimePoint now) {
  using Cost = std::tuple<bool, size_t, uint64_t>;
  const Home* best = nullptr;
  Cost best_cost{};
  for (const Home& home : homes) {
    const auto health = this->health_by_address.find(home.address);
    const bool is_known = health != this->health_by_address.end();
    const bool is_backing_off = is_known && now < health->second.excluded_until;
    if (is_backing_off || excluded.contains(home.address))
      continue;
    const Cost cost{home.place != this->place,
                    is_known ? health->second.in_flight : 0,
                    this->RankOf(home.address)};
    if (best && best_cost < cost)
      continue;
    best = &home;
    best_cost = cost;
  }
  if (!best)
    return std::nullopt;
  return best->address;
}

uint64_t HomeChooser::RankOf(const std::string& address) const {
  return XXH64(address.data(), address.size(), this->seed);
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
