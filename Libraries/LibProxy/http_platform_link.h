#ifndef LIBPROXY_HTTP_PLATFORM_LINK_H_
#define LIBPROXY_HTTP_PLATFORM_LINK_H_

#include <memory>
#include <string>

#include "LibCore/scheduler.h"
#include "LibPlatform/http_platform_client.h"
#include "LibProxy/platform_link.h"

namespace kingcupmill {

// A PlatformLink that uses HTTP and posts the results to a scheduler.
class HttpPlatformLink final : public PlatformLink {
 public:
  // `scheduler` must outlive every call in progress.
  HttpPlatformLink(Scheduler& scheduler, std::string address, Duration timeout);
  ~HttpPlatformLink() override;
  HttpPlatformLink(const HttpPlatformLink&) = delete;
  HttpPlatformLink& operator=(const HttpPlatformLink&) = delete;

  void ReadRow(std::string_view key,
               DidComplete<PlatformRow> did_complete) override;
  void WriteRow(std::string_view key,
                std::string_view value,
                uint64_t expected,
                DidComplete<WriteOutcome> did_complete) override;
  void ReadBlob(std::string_view digest,
                DidComplete<std::string> did_complete) override;
  void ListVms(DidComplete<std::vector<VmRecord>> did_complete) override;

 private:
  // Returns a callback that posts the call of `did_complete` to the scheduler.
  template <typename T>
  DidComplete<T> OnScheduler(DidComplete<T> did_complete);

  Scheduler& scheduler;
  HttpPlatformClient client;
  struct CallbackGuard;
  std::shared_ptr<CallbackGuard> callback_guard;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_HTTP_PLATFORM_LINK_H_
