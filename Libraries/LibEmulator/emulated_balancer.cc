#include "LibEmulator/emulated_balancer.h"

#include <utility>

namespace kingcupmill {

namespace {

constexpr Duration kInterval = std::chrono::seconds(1);
constexpr int kMissesToLeave = 2;

}  // namespace

void EmulatedBalancer::Start(size_t count) {
  this->misses.resize(count, kMissesToLeave);
  if (!std::exchange(this->is_started, true))
    this->Ask();
}

void EmulatedBalancer::Ask() {
  for (size_t index = 0; index < this->misses.size(); ++index) {
    if (this->is_ready(index))
      this->misses[index] = 0;
    else
      ++this->misses[index];
  }
  this->scheduler.PostAfter(kInterval, [this] { this->Ask(); });
}

std::vector<size_t> EmulatedBalancer::InRotation() const {
  std::vector<size_t> chosen;
  for (size_t index = 0; index < this->misses.size(); ++index) {
    if (this->misses[index] < kMissesToLeave)
      chosen.push_back(index);
  }
  for (size_t index = 0; chosen.empty() && index < this->misses.size(); ++index)
    chosen.push_back(index);
  return chosen;
}

}  // namespace kingcupmill
