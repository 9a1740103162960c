#include "LibEmulator/emulated_balancer.h"

#include <utility>

namespace kingcupmill {

namespace {

constexpr Duration kCheckInterval = std::chrono::seconds(1);
constexpr int kMissedChecksLimit = 2;

}  // namespace

void EmulatedBalancer::Start(size_t count) {
  this->missed_checks.resize(count, kMissedChecksLimit);
  if (!std::exchange(this->is_started, true))
    this->CheckReadiness();
}

void EmulatedBalancer::CheckReadiness() {
  for (size_t index = 0; index < this->missed_checks.size(); ++index) {
    if (this->is_ready(index))
      this->missed_checks[index] = 0;
    else
      ++this->missed_checks[index];
  }
  this->scheduler.PostAfter(kCheckInterval, [this] { this->CheckReadiness(); });
}

std::vector<size_t> EmulatedBalancer::InRotation() const {
  std::vector<size_t> chosen;
  for (size_t index = 0; index < this->missed_checks.size(); ++index) {
    if (this->missed_checks[index] < kMissedChecksLimit)
      chosen.push_back(index);
  }
  for (size_t index = 0; chosen.empty() && index < this->missed_checks.size();
       ++index)
    chosen.push_back(index);
  return chosen;
}

}  // namespace kingcupmill
