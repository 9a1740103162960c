#ifndef LIBDISPATCH_REQUEST_QUEUE_H_
#define LIBDISPATCH_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/names.h"
#include "LibCore/scheduler.h"
#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/fair_order.h"
#include "LibDispatch/overload_forecast.h"

namespace kingcupmill {

// The requests of one group that wait for a target: their order, when each is
// given up, and which are refused on arrival because their wait cannot end in
// time.
class RequestQueue {
 public:
  using RequestNumber = FairOrder::RequestNumber;

  // `did_expire` is called for a request that has been removed because it could
  // no longer be answered in time.
  RequestQueue(Scheduler& scheduler,
               std::function<void(RequestNumber)> did_expire);
  ~RequestQueue();

  // Adds a request that waits until its share of the latency target for waiting
  // is over, but for `minimum_wait` at least.
  void Add(RequestNumber number,
           const DispatchRequest& request,
           Duration minimum_wait);
  // Removes a request that is not started. Returns false if it is not queued.
  bool Remove(RequestNumber number);
  // Removes a request that is started for the first time or again.
  void Start(RequestNumber number, bool is_first_attempt);

  // Removes a request whose wait cannot end in time, and returns when its
  // caller should return. Otherwise returns nothing.
  std::optional<Duration> RemoveIfHopeless(RequestNumber number);

  // Returns the queued requests in the order in which to start them.
  std::vector<RequestNumber> InOrder() const { return this->order.InOrder(); }
  bool contains(RequestNumber number) const {
    return this->entries.contains(number);
  }
  size_t size() const { return this->entries.size(); }
  // Returns when a queued request is given up unless it was started before.
  TimePoint QueuedUntil(RequestNumber number) const {
    return this->entries.at(number).queued_until;
  }

  // How many requests were refused because their wait could not end in time,
  // on arrival and after a wait.
  uint64_t hopeless_count() const { return this->hopeless; }
  uint64_t expired_count() const { return this->expired; }

 private:
  struct QueuedRequest {
    FairOrder::Entry entry;
    TimePoint received_at;
    TimePoint queued_until;
    Scheduler::TimerId timer = 0;
  };
  using Entries = std::map<RequestNumber, QueuedRequest>;
  // Route priority, customer priority, and the customer or nothing for all.
  using ForecastKey = std::tuple<int, int, CustomerName>;
  struct Wait {
    Duration wait{};
    OverloadForecast* forecast = nullptr;
  };

  void DidExpire(RequestNumber number);
  void Erase(Entries::iterator queued);
  // Whether no request of the priority has been started for so long that one
  // which can wait for `limit` is unlikely to be.
  bool is_stalled(const FairOrder::Entry& entry,
                  Duration limit,
                  TimePoint now) const;
  // Returns the longest wait that one of the forecasts expects for a request.
  Wait ExpectedWait(const FairOrder::Entry& entry, TimePoint now);
  void DidStart(const QueuedRequest& queued);

  Scheduler& scheduler;
  std::function<void(RequestNumber)> did_expire;
  Entries entries;
  FairOrder order;
  // The starts of all requests.
  OverloadForecast forecast;
  // The starts of the requests of one priority, and of one customer among
  // these, while they are recent. Kept for declared customers only.
  std::map<ForecastKey, OverloadForecast> forecast_by_key;
  size_t prune_forecasts_at = 0;
  // Since when requests of a route priority and customer priority have been
  // waiting without the start of one.
  std::map<std::pair<int, int>, TimePoint> stalled_since;
  uint64_t hopeless = 0;
  uint64_t expired = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_REQUEST_QUEUE_H_
