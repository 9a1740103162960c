#include "LibDispatch/connection_provider.h"

#include <algorithm>
#include <vector>

#include "LibDispatch/target_view.h"
#include "LibLink/connection_pool.h"

namespace kingcupmill {

namespace {

// The part of a target's slot time that new connections may take, all homes
// together, and how much of it one connection takes.
constexpr double kOpenShareOfSlots = 0.25;
constexpr double kSlotSecondsPerOpen = 0.012;
// How long a request waits for a new connection: a target takes 12 ms to accept
// one, and a round trip is added.
constexpr Duration kHandshakeCost = std::chrono::milliseconds(15);

}  // namespace

Duration ConnectionProvider::CostOf(const CustomerName& customer,
                                    const TargetView& target) const {
  if (customer.value.empty() && !target.pool->has_customers())
    return Duration(0);
  return kHandshakeCost + target.pool->ProvisionCost(customer);
}

void ConnectionProvider::Provide(const CustomerName& customer,
                                 std::span<const Candidate> candidates,
                                 size_t queued,
                                 TimePoint wait_until) {
  if (candidates.empty())
    return;
  const auto found = this->waiting_by_customer.find(customer);
  const size_t counted =
      found == this->waiting_by_customer.end() ? queued : found->second;
  // One connection for each queued request is enough.
  const size_t waiting = std::min(counted, queued);
  std::vector<Candidate> by_cost(candidates.begin(), candidates.end());
  std::stable_sort(by_cost.begin(), by_cost.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.cost < right.cost;
                   });
  ConnectionPool& cheapest = *by_cost.front().target->pool;
  if (customer.value.empty() && !cheapest.has_customers()) {
    if (cheapest.opening_count(customer) < waiting && !cheapest.Open(customer))
      cheapest.Borrow(customer);
    return;
  }
  if (this->refused.contains({customer, by_cost.front().target}))
    return;
  size_t opening = 0;
  for (const Candidate& candidate : by_cost)
    opening += candidate.target->pool->opening_count(customer);
  if (opening >= waiting)
    return;
  const ConnectionPool::Demand demand{customer, waiting, wait_until};
  for (const Candidate& candidate : by_cost) {
    if (candidate.target->pool->Provide(demand))
      return;
  }
  this->refused.emplace(customer, by_cost.front().target);
  cheapest.AddClaim(demand);
  if (cheapest.is_backing_off() || cheapest.is_exhausted())
    cheapest.Borrow(customer);
}

double ConnectionOpenRate(int slots, size_t homes) {
  return kOpenShareOfSlots * std::max(slots, 1) / kSlotSecondsPerOpen /
         static_cast<double>(std::max<size_t>(homes, 1));
}

}  // namespace kingcupmill
