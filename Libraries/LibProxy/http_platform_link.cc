#include "LibProxy/http_platform_link.h"

#include <mutex>
#include <utility>

namespace kingcupmill {

// Lets answers that arrive after the owner's end fall away.
struct HttpPlatformLink::Calls {
  std::mutex mutex;
  bool is_over = false;
};

HttpPlatformLink::HttpPlatformLink(Scheduler& scheduler,
                                   std::string address,
                                   Duration timeout)
    : scheduler(scheduler),
      client(std::move(address), timeout),
      calls(std::make_shared<Calls>()) {}

HttpPlatformLink::~HttpPlatformLink() {
  const std::lock_guard lock(this->calls->mutex);
  this->calls->is_over = true;
}

template <typename T>
HttpPlatformLink::Did<T> HttpPlatformLink::OnScheduler(Did<T> did) {
  return [scheduler = &this->scheduler, calls = this->calls,
          did = std::move(did)](ValueOrError<T> outcome) {
    const std::lock_guard lock(calls->mutex);
    if (calls->is_over)
      return;
    scheduler->Post([did, outcome = std::move(outcome)] { did(outcome); });
  };
}

void HttpPlatformLink::ReadRow(std::string_view key, Did<PlatformRow> did) {
  this->client.ReadRowLater(key, this->OnScheduler(std::move(did)));
}

void HttpPlatformLink::WriteRow(std::string_view key,
                                std::string_view value,
                                uint64_t expected,
                                Did<WriteOutcome> did) {
  this->client.WriteRowLater(key, value, expected,
                             this->OnScheduler(std::move(did)));
}

void HttpPlatformLink::ReadBlob(std::string_view digest, Did<std::string> did) {
  this->client.ReadBlobLater(digest, this->OnScheduler(std::move(did)));
}

void HttpPlatformLink::ListVms(Did<std::vector<VmRecord>> did) {
  this->client.ListVmsLater(this->OnScheduler(std::move(did)));
}

}  // namespace kingcupmill
