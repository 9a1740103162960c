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

// Talks to the platform's table, object store and VM list over HTTP, as
// docs/PLATFORM.md describes them. The blocking members serve the command line;
// daemons use the asynchronous ones, whose callbacks run on a thread of the
// HTTP library.
class HttpPlatformClient {
 public:
  template <typename T>
  using Did = std::function<void(ValueOrError<T>)>;

  HttpPlatformClient(std::string address, Duration timeout);
  ~HttpPlatformClient();
  HttpPlatformClient(const HttpPlatformClient&) = delete;
  HttpPlatformClient& operator=(const HttpPlatformClient&) = delete;

  // Reads a row; a row that does not exist has version 0.
  Result<PlatformRow> ReadRow(std::string_view key);
  // Writes a row if its version is still `expected`. An error leaves open
  // whether the write took effect.
  Result<WriteOutcome> WriteRow(std::string_view key,
                                std::string_view value,
                                uint64_t expected);
  // Fails with kNotFound when there is no such blob.
  Result<std::string> ReadBlob(std::string_view digest);
  Result<void> WriteBlob(std::string_view digest, std::string_view text);
  Result<std::vector<VmRecord>> ListVms();

  void ReadRowLater(std::string_view key, Did<PlatformRow> did);
  void WriteRowLater(std::string_view key,
                     std::string_view value,
                     uint64_t expected,
                     Did<WriteOutcome> did);
  void ReadBlobLater(std::string_view digest, Did<std::string> did);
  void ListVmsLater(Did<std::vector<VmRecord>> did);

 private:
  std::unique_ptr<HttpClient> client;
};

}  // namespace kingcupmill

#endif  // LIBPLATFORM_HTTP_PLATFORM_CLIENT_H_
