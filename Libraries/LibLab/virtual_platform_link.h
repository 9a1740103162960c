#ifndef LIBLAB_VIRTUAL_PLATFORM_LINK_H_
#define LIBLAB_VIRTUAL_PLATFORM_LINK_H_

#include <string>

#include "LibCore/random_source.h"
#include "LibProxy/platform_link.h"
#include "LibStandins/platform_state.h"
#include "LibStandins/standin_network.h"

namespace kingcupmill {

// The platform as one proxy reaches it in memory, on virtual time.
class VirtualPlatformLink final : public PlatformLink {
 public:
  // The platform's name in the stand-in network.
  static constexpr const char* kNode = "platform";

  // How the platform misbehaves; shared by all links of a world.
  struct Faults {
    bool is_down = false;
    // Reads of the head are answered with this row instead, when it is set.
    PlatformRow old_head;
  };

  VirtualPlatformLink(Scheduler& scheduler,
                      StandinNetwork& network,
                      PlatformState& state,
                      const Faults& faults,
                      VmName vm);

  void ReadRow(std::string_view key, Did<PlatformRow> did) override;
  void WriteRow(std::string_view key,
                std::string_view value,
                uint64_t expected,
                Did<WriteOutcome> did) override;
  void ReadBlob(std::string_view digest, Did<std::string> did) override;
  void ListVms(Did<std::vector<VmRecord>> did) override;

 private:
  // Runs `operation` at the platform and brings its result back; a call that
  // is lost on the way, or made while the platform is down, ends in an error.
  template <typename T, typename Operation>
  void Call(Did<T> did, Operation operation);

  Scheduler& scheduler;
  StandinNetwork& network;
  PlatformState& state;
  const Faults& faults;
  VmName vm;
};

}  // namespace kingcupmill

#endif  // LIBLAB_VIRTUAL_PLATFORM_LINK_H_
