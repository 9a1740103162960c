#include "LibDispatch/fair_order.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <queue>
#include <tuple>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// The requests that a customer may start ahead of its share after a time with
// fewer. Without this, the second of two simultaneous requests of a customer
// with a rate of a few per second would wait for longer than it can.
constexpr double kBurstAllowance = 4;
constexpr size_t kMinimumPruneSize = 32;

}  // namespace

double FairOrder::Class::StartOf(const Flow& flow, size_t ahead) const {
  const double tag = std::max(
      flow.start_tag, this->virtual_time - kBurstAllowance / flow.weight);
  return tag + static_cast<double>(ahead) / flow.weight;
}

void FairOrder::Class::Prune() {
  if (this->idle_tags.size() < this->prune_at)
    return;
  std::erase_if(this->idle_tags, [this](const auto& idle) {
    return idle.second.forget_at <= this->virtual_time;
  });
  this->prune_at = std::max(kMinimumPruneSize, 2 * this->idle_tags.size());
}

void FairOrder::Class::AppendInOrder(
    std::vector<RequestNumber>& numbers) const {
  if (this->flows.size() == 1) {
    for (const auto& [due_at, number] : this->flows.begin()->second.requests)
      numbers.push_back(number);
    return;
  }
  // The next request of each customer, the first to be started on top.
  struct Next {
    double start;
    Requests::const_iterator request;
    const Flow* flow;
    size_t ahead;
    bool operator<(const Next& other) const {
      return std::tie(other.start, *other.request) <
             std::tie(this->start, *this->request);
    }
  };
  std::vector<Next> heads;
  heads.reserve(this->flows.size());
  for (const auto& [customer, flow] : this->flows)
    heads.push_back(
        Next{this->StartOf(flow, 0), flow.requests.begin(), &flow, 0});
  std::priority_queue<Next> queue(std::less<Next>(), std::move(heads));
  while (!queue.empty()) {
    Next next = queue.top();
    queue.pop();
    numbers.push_back(next.request->second);
    if (++next.request == next.flow->requests.end())
      continue;
    next.start = this->StartOf(*next.flow, ++next.ahead);
    queue.push(next);
  }
}

size_t FairOrder::Class::CountBefore(
    const Flow& flow,
    double start,
    const Requests::value_type& request) const {
  const double first = this->StartOf(flow, 0);
  if (start < first)
    return 0;
  const double estimate = std::ceil((start - first) * flow.weight);
  if (estimate > static_cast<double>(flow.requests.size()))
    return flow.requests.size();
  // The estimate may be off by one because of rounding.
  auto count = static_cast<size_t>(estimate);
  while (count > 0 && this->StartOf(flow, count - 1) >= start)
    --count;
  while (count < flow.requests.size() && this->StartOf(flow, count) < start)
    ++count;
  if (count == flow.requests.size() || this->StartOf(flow, count) > start)
    return count;
  const auto tied =
      std::next(flow.requests.begin(), static_cast<std::ptrdiff_t>(count));
  return count + (*tied < request ? 1 : 0);
}

void FairOrder::Add(const Entry& entry) {
  KINGCUPMILL_VERIFY(entry.weight > 0);
  Class& group = this->classes[KeyOf(entry)];
  const auto [found, is_new] = group.flows.try_emplace(entry.customer);
  Flow& flow = found->second;
  flow.weight = entry.weight;
  if (is_new) {
    const auto idle = group.idle_tags.find(entry.customer);
    // StartOf() raises this to the least tag that is allowed.
    flow.start_tag = group.virtual_time - kBurstAllowance / entry.weight;
    if (idle != group.idle_tags.end()) {
      flow.start_tag = std::max(flow.start_tag, idle->second.start_tag);
      group.idle_tags.erase(idle);
    }
  }
  flow.requests.emplace(entry.due_at, entry.number);
  ++group.waiting_count;
  ++this->waiting_count;
}

void FairOrder::Remove(const Entry& entry) {
  this->Remove(entry, false);
}

void FairOrder::Start(const Entry& entry) {
  this->Remove(entry, true);
}

void FairOrder::Remove(const Entry& entry, bool is_started) {
  Class& group = this->classes.at(KeyOf(entry));
  const auto found = group.flows.find(entry.customer);
  KINGCUPMILL_VERIFY(found != group.flows.end());
  Flow& flow = found->second;
  const size_t erased = flow.requests.erase({entry.due_at, entry.number});
  KINGCUPMILL_VERIFY(erased == 1);
  --group.waiting_count;
  --this->waiting_count;
  if (is_started) {
    const double start = group.StartOf(flow, 0);
    group.virtual_time = std::max(group.virtual_time, start);
    flow.start_tag = start + 1 / flow.weight;
  }
  if (!flow.requests.empty())
    return;
  group.idle_tags.emplace(
      entry.customer,
      IdleTag{flow.start_tag, flow.start_tag + kBurstAllowance / flow.weight});
  group.flows.erase(found);
  group.Prune();
}

std::vector<FairOrder::RequestNumber> FairOrder::InOrder() const {
  std::vector<RequestNumber> numbers;
  numbers.reserve(this->waiting_count);
  for (const auto& [key, group] : this->classes) {
    if (group.waiting_count > 0)
      group.AppendInOrder(numbers);
  }
  return numbers;
}

size_t FairOrder::CountBefore(const Entry& entry) const {
  const ClassKey key = KeyOf(entry);
  size_t count = this->CountBeforeOfPriority(entry);
  for (const auto& [other_key, group] : this->classes) {
    if (other_key >= key)
      break;
    count += group.waiting_count;
  }
  return count;
}

size_t FairOrder::CountBeforeOfPriority(const Entry& entry) const {
  const Class& group = this->classes.at(KeyOf(entry));
  const size_t own = this->CountBeforeOfCustomer(entry);
  const double start = group.StartOf(group.flows.at(entry.customer), own);
  size_t count = 0;
  for (const auto& [customer, flow] : group.flows)
    count += customer == entry.customer
                 ? own
                 : group.CountBefore(flow, start, {entry.due_at, entry.number});
  return count;
}

size_t FairOrder::CountOfPriority(const Entry& entry) const {
  const auto group = this->classes.find(KeyOf(entry));
  return group == this->classes.end() ? 0 : group->second.waiting_count;
}

size_t FairOrder::CountBeforeOfCustomer(const Entry& entry) const {
  const Requests& requests =
      this->classes.at(KeyOf(entry)).flows.at(entry.customer).requests;
  return static_cast<size_t>(std::distance(
      requests.begin(), requests.find({entry.due_at, entry.number})));
}

}  // namespace kingcupmill
