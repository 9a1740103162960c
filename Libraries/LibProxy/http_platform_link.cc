#include "LibProxy/http_platform_link.h"

#include <mutex>
#include <utility>

namespace kingcupmill {

// Shared with the pending callbacks, so that they drop results that arrive
// after the link was destroyed.
struct HttpPlatformLink::CallbackGuard {
  std::mutex mutex;
  bool is_link_destroyed = false;
};

HttpPlatformLink::HttpPlatformLink(Scheduler& scheduler,
                                   std::string address,
                                   Duration timeout)
    : scheduler(scheduler),
      client(std::move(address), timeout),
      callback_guard(std::make_shared<CallbackGuard>()) {}

HttpPlatformLink::~HttpPlatformLink() {
  const std::lock_guard lock(this->callback_guard->mutex);
  this->callback_guard->is_link_destroyed = true;
}

template <typename T>
HttpPlatformLink::Did<T> HttpPlatformLink::OnScheduler(Did<T> did_complete) {
  return [scheduler = &this->scheduler, callback_guard = this->callback_guard,
          did_complete = std::move(did_complete)](ValueOrError<T> outcome) {
    const std::lock_guard lock(callback_guard->mutex);
    if (callback_guard->is_link_destroyed)
      return;
    scheduler->Post([did_complete, outcome = std::move(outcome)] {
      did_complete(outcome);
    });
  };
}

void HttpPlatformLink::ReadRow(std::string_view key,
                               Did<PlatformRow> did_complete) {
  this->client.ReadRowLater(key, this->OnScheduler(std::move(did_complete)));
}

void HttpPlatformLink::WriteRow(std::string_view key,
                                std::string_view value,
                                uint64_t expected,
                                Did<WriteOutcome> did_complete) {
  this->client.WriteRowLater(key, value, expected,
                             this->OnScheduler(std::move(did_complete)));
}

void HttpPlatformLink::ReadBlob(std::string_view digest,
                                Did<std::string> did_complete) {
  this->client.ReadBlobLater(digest,
                             this->OnScheduler(std::move(did_complete)));
}

void HttpPlatformLink::ListVms(Did<std::vector<VmRecord>> did_complete) {
  this->client.ListVmsLater(this->OnScheduler(std::move(did_complete)));
}

}  // namespace kingcupmill
