#include "LibRelay/home_chooser.h"

#include <algorithm>
#include <utility>
#include <vector>

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
    : place(std::move(place)), random(seed) {}

std::optional<std::string> HomeChooser::Choose(
    std::span<const Home> homes,
    const std::set<std::string>& avoided,
    TimePoint now) {
  std::vector<const Home*> best;
  std::pair<bool, size_t> best_cost{};
  for (const Home& home : homes) {
    const auto health = this->health_by_address.find(home.address);
    const bool is_known = health != this->health_by_address.end();
    const bool is_passed_over =
        is_known && now < health->second.passed_over_until;
    if (is_passed_over || avoided.contains(home.address))
      continue;
    const std::pair<bool, size_t> cost{home.place != this->place,
                                       is_known ? health->second.in_flight : 0};
    if (!best.empty() && best_cost < cost)
      continue;
    if (best.empty() || cost < best_cost) {
      best.clear();
      best_cost = cost;
    }
    best.push_back(&home);
  }
  if (best.empty())
    return std::nullopt;
  return best[this->random.Below(best.size())]->address;
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
