#include "LibRelay/home_chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// A home that declines is draining or has changed its role, which takes about
// as long to be seen in the store.
constexpr Duration kDeclinePause = std::chrono::milliseconds(400);
// A home that does not answer is tried again by one statement after this; a
// process is back within a second or two of its end.
constexpr Duration kFailurePause = std::chrono::milliseconds(800);

}  // namespace

HomeChooser::HomeChooser(PlaceName place, uint64_t seed)
    : place(std::move(place)), seed(seed) {}

std::optional<std::string> HomeChooser::Choose(
    std::span<const Home> homes,
    const std::set<std::string>& avoided,
    TimePoint now) {
  using Cost = std::tuple<bool, size_t, uint64_t>;
  const Home* best = nullptr;
  Cost best_cost{};
  for (const Home& home : homes) {
    const auto health = this->health_by_address.find(home.address);
    const bool is_known = health != this->health_by_address.end();
    const bool is_passed_over =
        is_known && now < health->second.passed_over_until;
    if (is_passed_over || avoided.contains(home.address))
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

void HomeChooser::DidEnd(const std::string& address) {
  const auto health = this->health_by_address.find(address);
  KINGCUPMILL_VERIFY(health != this->health_by_address.end() &&
                     health->second.in_flight > 0);
  --health->second.in_flight;
  --this->unanswered;
}

void HomeChooser::DidHear(TimePoint now) {
  this->silent_since.reset();
  if (this->unanswered > 0)
    this->silent_since = now;
}

void HomeChooser::DidAnswer(const std::string& address, TimePoint now) {
  this->DidEnd(address);
  this->DidHear(now);
  this->health_by_address[address].passed_over_until = TimePoint{};
}

void HomeChooser::DidDecline(const std::string& address, TimePoint now) {
  this->DidEnd(address);
  this->DidHear(now);
  this->health_by_address[address].passed_over_until = now + kDeclinePause;
}

void HomeChooser::DidFail(const std::string& address, TimePoint now) {
  this->DidEnd(address);
  this->health_by_address[address].passed_over_until = now + kFailurePause;
}

Duration HomeChooser::Silence(TimePoint now) const {
  return this->silent_since ? now - *this->silent_since : Duration(0);
}

size_t HomeChooser::in_flight(const std::string& address) const {
  const auto health = this->health_by_address.find(address);
  return health == this->health_by_address.end() ? 0 : health->second.in_flight;
}

}  // namespace kingcupmill
