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
HttpPlatformLink::DidComplete<T> HttpPlatformLink::OnScheduler(
    DidComplete<T> did_complete) {
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
                               DidComplete<PlatformRow> did_complete) {
  this->client.ReadRowAsync(key, this->OnScheduler(std::move(did_complete)));
}

void HttpPlatformLink::WriteRow(std::string_view key,
                                std::string_view value,
                                uint64_t expected,
                                DidComplete<WriteOutcome> did_complete) {
  this->client.WriteRowAsync(key, value, expected,
                             this->OnScheduler(std::move(did_complete)));
}

void HttpPlatformLink::ReadBlob(std::string_view digest,
                                DidComplete<std::string> did_complete) {
  this->client.ReadBlobAsync(digest,
                             this->OnScheduler(std::move(did_complete)));
}

void HttpPlatformLink::ListVms(
    DidComplete<std::vector<VmRecord>> did_complete) {
  this->client.ListVmsAsync(this->OnScheduler(std::move(did_complete)));
}

}  // namespace kingcupmill
