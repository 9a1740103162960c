#include "LibLink/connection_allocator.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// How long it takes until a connection that replaces another one is usable: the
// old one is closed, and the target needs 12 ms to accept the new one.
constexpr Duration kHandshake = std::chrono::milliseconds(15);
// The hold time assumed for a customer before its first statement has ended.
constexpr Duration kDefaultHold = std::chrono::milliseconds(15);
// The interval assumed for a customer that was seen once.
constexpr Duration kDefaultInterval = std::chrono::seconds(1);
// Each observation moves an average by the difference divided by this.
constexpr int kAverageWeightDivisor = 4;
// A busy connection is not taken from a customer before it has been open for
// this long, so that handshakes take at most about a sixth of its time.
constexpr Duration kMinimumTenure = std::chrono::milliseconds(100);
// Estimates of customers that have been away for longer are dropped once there
// are many.
constexpr size_t kMaximumUsages = 512;
constexpr Duration kUsageLifetime = std::chrono::minutes(10);
// The part of the rate that may be used at once.
constexpr double kBurstShare = 0.25;
// A customer that already has a connection leaves this many opens to those
// without one.
constexpr double kReservedOpens = 1;

}  // namespace

void ConnectionAllocator::SetOpenRate(double per_second) {
  // Burst and refill add up to the rate, so that it holds for any second.
  const double rate = std::max(per_second, 2.0);
  this->burst = std::max(rate * kBurstShare, 1.0);
  this->refill_per_second = rate - this->burst;
  this->tokens = std::min(this->tokens, this->burst);
  if (this->refilled_at == TimePoint{})
    this->tokens = this->burst;
}

double ConnectionAllocator::TokensAt(TimePoint now) const {
  const double seconds =
      std::chrono::duration<double>(now - this->refilled_at).count();
  return std::min(this->burst,
                  this->tokens + seconds * this->refill_per_second);
}

void ConnectionAllocator::DidStartOpening(TimePoint now) {
  this->tokens = std::max(this->TokensAt(now) - 1, 0.0);
  this->refilled_at = now;
}

ConnectionAllocator::Usage& ConnectionAllocator::UsageOf(
    const CustomerName& customer,
    TimePoint now) {
  if (this->usage_by_customer.size() >= kMaximumUsages &&
      !this->usage_by_customer.contains(customer))
    std::erase_if(this->usage_by_customer, [&](const auto& known) {
      return now - known.second.last_acquired_at > kUsageLifetime;
    });
  return this->usage_by_customer
      .try_emplace(customer, Usage{now, kDefaultInterval, kDefaultHold})
      .first->second;
}

void ConnectionAllocator::DidAcquire(const CustomerName& customer,
                                     TimePoint now) {
  Usage& usage = this->UsageOf(customer, now);
  const Duration interval = now - usage.last_acquired_at;
  if (interval > Duration(0))
    usage.average_interval +=
        (interval - usage.average_interval) / kAverageWeightDivisor;
  usage.last_acquired_at = now;
}

void ConnectionAllocator::DidRelease(const CustomerName& customer,
                                     Duration held) {
  const auto found = this->usage_by_customer.find(customer);
  if (found == this->usage_by_customer.end())
    return;
  Duration& average = found->second.average_hold;
  average += (held - average) / kAverageWeightDivisor;
}

Duration ConnectionAllocator::ExpectedReturn(const CustomerName& customer,
                                             TimePoint now) const {
  const auto found = this->usage_by_customer.find(customer);
  // Connections for the proxy's own commands are never acquired.
  if (found == this->usage_by_customer.end())
    return kUsageLifetime;
  // A customer that has been away for longer than usual is expected to stay
  // away for as long again.
  return std::max(found->second.average_interval,
                  now - found->second.last_acquired_at);
}

Duration ConnectionAllocator::ExpectedHold(const CustomerName& customer) const {
  const auto found = this->usage_by_customer.find(customer);
  return found == this->usage_by_customer.end() ? kDefaultHold
                                                : found->second.average_hold;
}

bool ConnectionAllocator::MayClose(const Situation& situation,
                                   const IdleConnection& candidate,
                                   Duration unused_for,
                                   const Demand& demand,
                                   TimePoint now) const {
  // The waiting customer has used the new connection before the present one
  // would be used again.
  if (unused_for >= kHandshake + this->ExpectedHold(demand.customer))
    return true;
  const size_t owned =
      situation.customers.at(candidate.customer).connection_count();
  const auto waiting = situation.customers.find(demand.customer);
  const size_t wanting = waiting == situation.customers.end()
                             ? 0
                             : waiting->second.connection_count();
  // Moving connections while this makes the smallest share larger leads to
  // max-min fair shares.
  if (owned >= wanting + 2)
    return true;
  // With more busy customers than connections these go round.
  return wanting == 0 && now - candidate.opened_at >= kMinimumTenure &&
         now - demand.waiting_since >= kHandshake;
}

ConnectionAllocator::Decision ConnectionAllocator::Decide(
    const Situation& situation,
    const Demand& demand,
    TimePoint now) const {
  const auto own = situation.customers.find(demand.customer);
  const bool has_connection =
      own != situation.customers.end() && own->second.connection_count() > 0;
  const double needed_tokens = has_connection ? 1 + kReservedOpens : 1;
  if (this->TokensAt(now) < std::min(needed_tokens, this->burst))
    return Decision{};
  if (situation.count < situation.limit)
    return Decision{Action::kOpen, 0};
  if (now + kHandshake > demand.wait_until)
    return Decision{};
  if (demand.own_is_free_in && *demand.own_is_free_in <= kHandshake)
    return Decision{};
  std::optional<size_t> victim;
  Duration victim_unused_for{};
  std::map<CustomerName, int> rank_by_customer;
  for (size_t index = 0; index < situation.idle.size(); ++index) {
    const IdleConnection& candidate = situation.idle.at(index);
    if (candidate.customer == demand.customer)
      continue;
    const CustomerState& owner = situation.customers.at(candidate.customer);
    // Of several idle connections of a customer the second is used only when
    // the customer has come back twice, and so on.
    const int rank = ++rank_by_customer[candidate.customer];
    const bool is_wanted = static_cast<size_t>(rank) <= owner.waiting;
    const Duration unused_for =
        is_wanted ? Duration(0)
                  : rank * this->ExpectedReturn(candidate.customer, now);
    if (!this->MayClose(situation, candidate, unused_for, demand, now))
      continue;
    const bool is_better =
        !victim || unused_for > victim_unused_for ||
        (unused_for == victim_unused_for &&
         candidate.opened_at < situation.idle.at(*victim).opened_at);
    if (!is_better)
      continue;
    victim = index;
    victim_unused_for = unused_for;
  }
  if (!victim)
    return Decision{};
  return Decision{Action::kReassign, *victim};
}

}  // namespace kingcupmill
