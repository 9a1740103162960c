#ifndef LIBPROXY_PLATFORM_LINK_H_
#define LIBPROXY_PLATFORM_LINK_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/error.h"
#include "LibPlatform/platform_row.h"
#include "LibPlatform/vm_record.h"

namespace kingcupmill {

// The asynchronous interface through which a proxy uses the platform. Callbacks
// run on the proxy's scheduler. A call that the platform does not answer in
// time completes with an error.
class PlatformLink {
 public:
  template <typename T>
  using DidComplete = std::function<void(ValueOrError<T>)>;

  virtual ~PlatformLink() = default;
  virtual void ReadRow(std::string_view key,
                       DidComplete<PlatformRow> did_complete) = 0;
  virtual void WriteRow(std::string_view key,
                        std::string_view value,
                        uint64_t expected,
                        DidComplete<WriteOutcome> did_complete) = 0;
  virtual void ReadBlob(std::string_view digest,
                        DidComplete<std::string> did_complete) = 0;
  virtual void ListVms(DidComplete<std::vector<VmRecord>> did_complete) = 0;
};

}  // namespace kingcupmill

#endif  // LIBPROXY_PLATFORM_LINK_H_
