#include "LibCoordination/lease_promises.h"

#include <algorithm>
#include <functional>

#include "LibCoordination/coordination_view.h"

namespace kingcupmill {

namespace {

// Covers a round trip between proxies, so that a lost query is repeated.
constexpr Duration kQueryInterval = std::chrono::milliseconds(300);
// A promise is renewed once less than this divisor's part of it is left.
constexpr int kRenewalDivisor = 2;

}  // namespace

void LeasePromises::DidReceive(const std::string& address,
                               const PromiseAnswer& answer,
                               TimePoint sent_at) {
  this->promise_by_address.insert_or_assign(
      address, Promise{answer, sent_at + answer.duration});
}

std::optional<TimePoint> LeasePromises::PromisedUntil(
    const GroupName& group,
    uint64_t version,
    const Members& members,
    const std::string& self_address) const {
  size_t homes = 0;
  // This proxy starts no handover itself while it relies on the promises.
  std::vector<TimePoint> ends = {TimePoint::max()};
  for (const auto& [address, member] : members) {
    if (!member.home_of.contains(group))
      continue;
    ++homes;
    const auto promise = this->promise_by_address.find(address);
    if (address == self_address || promise == this->promise_by_address.end() ||
        promise->second.answer.incarnation != member.incarnation)
      continue;
    const auto& versions = promise->second.answer.version_by_group;
    const auto promised = versions.find(group);
    if (promised != versions.end() && promised->second == version)
      ends.push_back(promise->second.until);
  }
  const size_t needed = homes / 2 + 1;
  if (ends.size() < needed)
    return std::nullopt;
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[needed - 1];
}

std::vector<std::string> LeasePromises::TakeDue(
    const std::vector<std::string>& addresses,
    TimePoint now) {
  std::vector<std::string> due;
  for (const std::string& address : addresses) {
    const auto promise = this->promise_by_address.find(address);
    const bool is_long_enough =
        promise != this->promise_by_address.end() &&
        promise->second.until - now >
            promise->second.answer.duration / kRenewalDivisor;
    TimePoint& asked_at = this->asked_at_by_address[address];
    if (is_long_enough || now - asked_at < kQueryInterval)
      continue;
    asked_at = now;
    due.push_back(address);
  }
  return due;
}

}  // namespace kingcupmill
