#include "LibDispatch/request_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibCore/verify.h"

namespace kingcupmill {

namespace {

// The fraction of its latency target that a statement waits while targets are
// busy. A statement that starts later is answered too late, and uses capacity
// that others need to be answered in time.
constexpr double kMaximumWaitShareWhenBusy = 0.65;
// A lower weight is raised to this: one operation in a quarter of an hour.
constexpr double kMinimumWeight = 0.001;
constexpr size_t kMinimumPruneSize = 32;

// Weights come from other proxies, so any number is possible.
double UsableWeight(double weight) {
  return std::isfinite(weight) ? std::max(weight, kMinimumWeight) : 1;
}

}  // namespace

RequestQueue::RequestQueue(Scheduler& scheduler,
                           std::function<void(RequestNumber)> did_expire)
    : scheduler(scheduler), did_expire(std::move(did_expire)) {}

RequestQueue::~RequestQueue() {
  for (const auto& [number, queued] : this->entries)
    this->scheduler.Cancel(queued.timer);
}

void RequestQueue::Add(RequestNumber number,
                       const DispatchRequest& request,
                       Duration minimum_wait) {
  const CallerRoute& route = request.route;
  const auto maximum_wait =
      duration_cast<Duration>(route.target_latency * kMaximumWaitShareWhenBusy);
  const TimePoint now = this->scheduler.Now();
  QueuedRequest queued;
  queued.entry = FairOrder::Entry{route.priority,
                                  request.customer_priority,
                                  request.customer,
                                  UsableWeight(request.customer_weight),
                                  request.received_at + route.target_latency,
                                  number};
  queued.received_at = request.received_at;
  queued.queued_until =
      std::max(request.received_at +
                   std::min<Duration>(maximum_wait, route.statement_timeout),
               now + minimum_wait);
  queued.timer = this->scheduler.PostAfter(
      queued.queued_until - now,
      this->life.Wrap([this, number] { this->DidExpire(number); }));
  if (this->order.CountOfPriority(queued.entry) == 0)
    this->stalled_since[{queued.entry.route_priority,
                         queued.entry.customer_priority}] = now;
  this->order.Add(queued.entry);
  const bool is_new = this->entries.emplace(number, std::move(queued)).second;
  KINGCUPMILL_VERIFY(is_new);
}

void RequestQueue::Erase(Entries::iterator queued) {
  this->scheduler.Cancel(queued->second.timer);
  this->entries.erase(queued);
}

bool RequestQueue::Remove(RequestNumber number) {
  const auto queued = this->entries.find(number);
  if (queued == this->entries.end())
    return false;
  this->order.Remove(queued->second.entry);
  this->Erase(queued);
  return true;
}

void RequestQueue::Start(RequestNumber number, bool is_first_attempt) {
  const auto queued = this->entries.find(number);
  KINGCUPMILL_VERIFY(queued != this->entries.end());
  const FairOrder::Entry& entry = queued->second.entry;
  // Another attempt is the fault of a target and not charged to the customer.
  if (is_first_attempt) {
    this->DidStart(queued->second);
    this->order.Start(entry);
  } else {
    this->order.Remove(entry);
  }
  this->Erase(queued);
}

std::optional<Duration> RequestQueue::RemoveIfHopeless(RequestNumber number) {
  const auto queued = this->entries.find(number);
  if (queued == this->entries.end())
    return std::nullopt;
  const TimePoint now = this->scheduler.Now();
  const FairOrder::Entry& entry = queued->second.entry;
  const Duration limit = queued->second.queued_until - now;
  const Wait expected = this->ExpectedWait(entry, now);
  // Where a customer's requests are given up as fast as they arrive, its queue
  // never gets longer than the limit, and the margin of is_hopeless() would
  // let all of the excess wait in vain.
  const bool is_hopeless =
      entry.customer.value.empty()
          ? OverloadForecast::is_hopeless(expected.wait, limit)
          : expected.wait > limit || this->is_stalled(entry, limit, now);
  if (!is_hopeless)
    return std::nullopt;
  this->order.Remove(entry);
  this->Erase(queued);
  ++this->hopeless;
  return expected.forecast->TakeReturnDelay(expected.wait, limit, now);
}

void RequestQueue::DidExpire(RequestNumber number) {
  if (!this->Remove(number))
    return;
  ++this->expired;
  this->did_expire(number);
}

bool RequestQueue::is_stalled(const FairOrder::Entry& entry,
                              Duration limit,
                              TimePoint now) const {
  // The forecasts know nothing without a recent start. After twice the limit
  // all that were waiting at its beginning have been given up. When those that
  // came since are given up as well, the next one waits again, so that a
  // priority for which there is capacity again is served.
  const auto since =
      this->stalled_since.find({entry.route_priority, entry.customer_priority});
  return since != this->stalled_since.end() && now - since->second > 2 * limit;
}

RequestQueue::Wait RequestQueue::ExpectedWait(const FairOrder::Entry& entry,
                                              TimePoint now) {
  Wait expected{this->forecast.WaitBehind(this->order.CountBefore(entry), now),
                &this->forecast};
  // Requests that arrive later may still be served first: those of a more
  // urgent priority, and those of other customers. The starts of the same
  // priority, and of the same customer, show how many of them do.
  const auto consider = [&](const CustomerName& customer, auto count_before) {
    const auto known = this->forecast_by_key.find(
        {entry.route_priority, entry.customer_priority, customer});
    if (known == this->forecast_by_key.end() ||
        !known->second.has_recent_start(now))
      return;
    const Duration wait = known->second.WaitBehind(count_before(), now);
    if (wait > expected.wait)
      expected = Wait{wait, &known->second};
  };
  if (entry.customer.value.empty())
    return expected;
  consider(CustomerName{},
           [&] { return this->order.CountBeforeOfPriority(entry); });
  consider(entry.customer,
           [&] { return this->order.CountBeforeOfCustomer(entry); });
  return expected;
}

void RequestQueue::DidStart(const QueuedRequest& queued) {
  const TimePoint now = this->scheduler.Now();
  this->forecast.DidStart(queued.received_at, now);
  const FairOrder::Entry& entry = queued.entry;
  this->stalled_since[{entry.route_priority, entry.customer_priority}] = now;
  if (entry.customer.value.empty())
    return;
  for (const CustomerName& customer : {CustomerName{}, entry.customer})
    this->forecast_by_key[{entry.route_priority, entry.customer_priority,
                           customer}]
        .DidStart(queued.received_at, now);
  if (this->forecast_by_key.size() < this->prune_forecasts_at)
    return;
  std::erase_if(this->forecast_by_key, [now](const auto& known) {
    return !known.second.has_recent_start(now);
  });
  this->prune_forecasts_at =
      std::max(kMinimumPruneSize, 2 * this->forecast_by_key.size());
}

}  // namespace kingcupmill
