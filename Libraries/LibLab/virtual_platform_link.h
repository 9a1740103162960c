#ifndef LIBLAB_VIRTUAL_PLATFORM_LINK_H_
#define LIBLAB_VIRTUAL_PLATFORM_LINK_H_

#include <string>

#include "LibCore/random_source.h"
#include "LibProxy/platform_link.h"
#include "LibStandins/platform_state.h"
#include "LibStandins/standin_network.h"

namespace kingcupmill {

// Connects one proxy to the platform in memory and on virtual time.
class VirtualPlatformLink final : public PlatformLink {
 public:
  // The platform's node name in the StandinNetwork.
  static constexpr const char* kNode = "platform";

  // The injected faults; shared by all links of a VirtualWorld.
  struct Faults {
    bool is_down = false;
    // If its version is not 0, reads of the head return this row.
    PlatformRow stale_head;
  };

  VirtualPlatformLink(Scheduler& scheduler,
                      StandinNetwork& network,
                      PlatformState& state,
                      const Faults& faults,
                      VmName vm);

  void ReadRow(std::string_view key, DidComplete<PlatformRow> did) override;
  void WriteRow(std::string_view key,
                std::string_view value,
                uint64_t expected,
                DidComplete<WriteOutcome> did) override;
  void ReadBlob(std::string_view digest, DidComplete<std::string> did) override;
  void ListVms(DidComplete<std::vector<VmRecord>> did) override;

 private:
  // Runs `operation` on the platform and passes its result to `did`. The result
  // is kUnavailable while the platform is down, and kTimeout if the call or its
  // answer is lost.
  template <typename T, typename Operation>
  void Call(DidComplete<T> did, Operation operation);

  Scheduler& scheduler;
  StandinNetwork& network;
  PlatformState& state;
  const Faults& faults;
  VmName vm;
};

}  // namespace kingcupmill

#endif  // LIBLAB_VIRTUAL_PLATFORM_LINK_H_
