#ifndef LIBPROXY_HTTP_PLATFORM_LINK_H_
#define LIBPROXY_HTTP_PLATFORM_LINK_H_

#include <memory>
#include <string>

#include "LibCore/scheduler.h"
#include "LibPlatform/http_platform_client.h"
#include "LibProxy/platform_link.h"

namespace kingcupmill {

// Reaches the platform over HTTP and brings its answers to a scheduler.
class HttpPlatformLink final : public PlatformLink {
 public:
  // `scheduler` must outlive every call that is under way.
  HttpPlatformLink(Scheduler& scheduler, std::string address, Duration timeout);
  ~HttpPlatformLink() override;
  HttpPlatformLink(const HttpPlatformLink&) = delete;
  HttpPlatformLink& operator=(const HttpPlatformLink&) = delete;

  void ReadRow(std::string_view key, Did<PlatformRow> did) override;
  void WriteRow(std::string_view key,
                std::string_view value,
                uint64_t expected,
                Did<WriteOutcome> did) override;
  void ReadBlob(std::string_view digest, Did<std::string> did) override;
  void ListVms(Did<std::vector<VmRecord>> did) override;

 private:
  template <typename T>
  Did<T> OnScheduler(Did<T> did);

  Scheduler& scheduler;
  HttpPlatformClient client;
  struct Calls;
  std::shared_ptr<Calls> calls;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_HTTP_PLATFORM_LINK_H_
