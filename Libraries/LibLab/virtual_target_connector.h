#ifndef LIBLAB_VIRTUAL_TARGET_CONNECTOR_H_
#define LIBLAB_VIRTUAL_TARGET_CONNECTOR_H_

#include <map>
#include <memory>
#include <string>

#include "LibCore/random_source.h"
#include "LibStandins/standin_network.h"
#include "LibStandins/standin_target.h"
#include "LibTarget/target_connector.h"

namespace kingcupmill {

// Connects one proxy to stand-in targets in memory and on virtual time.
class VirtualTargetConnector final : public TargetConnector {
 public:
  using Targets = std::map<TargetName, std::unique_ptr<StandinTarget>>;

  // The injected faults; shared by all connectors of a VirtualWorld.
  struct Faults {
    // How many of a thousand answers are delivered twice.
    uint64_t duplicate_answers_per_mille = 0;
  };

  VirtualTargetConnector(Scheduler& scheduler,
                         StandinNetwork& network,
                         Targets& targets,
                         SeededRandom& random,
                         const Faults& faults,
                         VmName vm);

  std::shared_ptr<TargetConnection> Connect(
      const TargetName& target,
      TargetConnectionHandlers handlers) override;

 private:
  class Connection;

  Scheduler& scheduler;
  StandinNetwork& network;
  Targets& targets;
  SeededRandom& random;
  const Faults& faults;
  VmName vm;
};

}  // namespace kingcupmill

#endif  // LIBLAB_VIRTUAL_TARGET_CONNECTOR_H_
