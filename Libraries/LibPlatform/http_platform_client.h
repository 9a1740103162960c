#ifndef LIBPLATFORM_HTTP_PLATFORM_CLIENT_H_
#define LIBPLATFORM_HTTP_PLATFORM_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/error.h"
#include "LibCore/time.h"
#include "LibPlatform/platform_row.h"
#include "LibPlatform/vm_record.h"

namespace kingcupmill {

class HttpClient;

// An HTTP client for the platform's table, object store and VM list, which
// docs/PLATFORM.md specifies. Command-line tools use the blocking members.
// Daemons use the asynchronous ones, whose callbacks run on a thread of the
// HTTP library.
class HttpPlatformClient {
 public:
  template <typename T>
  using DidComplete = std::function<void(ValueOrError<T>)>;

  HttpPlatformClient(std::string address, Duration timeout);
  ~HttpPlatformClient();
  HttpPlatformClient(const HttpPlatformClient&) = delete;
  HttpPlatformClient& operator=(const HttpPlatformClient&) = delete;

  // Reads a row. A row that does not exist is returned with version 0.
  Result<PlatformRow> ReadRow(std::string_view key);
  // Writes a row if its version is still `expected`. After an error, the write
  // may or may not have taken effect.
  Result<WriteOutcome> WriteRow(std::string_view key,
                                std::string_view value,
                                uint64_t expected);
  // Fails with kNotFound if the blob does not exist.
  Result<std::string> ReadBlob(std::string_view digest);
  Result<void> WriteBlob(std::string_view digest, std::string_view text);
  Result<std::vector<VmRecord>> ListVms();

  void ReadRowAsync(std::string_view key,
                    DidComplete<PlatformRow> did_complete);
  void WriteRowAsync(std::string_view key,
                     std::string_view value,
                     uint64_t expected,
                     DidComplete<WriteOutcome> did_complete);
  void ReadBlobAsync(std::string_view digest,
                     DidComplete<std::string> did_complete);
  void ListVmsAsync(DidComplete<std::vector<VmRecord>> did_complete);

 private:
  std::unique_ptr<HttpClient> client;
};

}  // namespace kingcupmill

#endif  // LIBPLATFORM_HTTP_PLATFORM_CLIENT_H_
