#ifndef LIBLAB_VIRTUAL_WORLD_H_
#define LIBLAB_VIRTUAL_WORLD_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibCore/decision_log.h"
#include "LibCore/random_source.h"
#include "LibCore/virtual_scheduler.h"
#include "LibLab/virtual_peer_network.h"
#include "LibLab/virtual_platform_link.h"
#include "LibLab/virtual_target_connector.h"
#include "LibProxy/control_agent.h"
#include "LibProxy/proxy_core.h"
#include "LibStandins/platform_state.h"
#include "LibStandins/standin_network.h"
#include "LibStandins/standin_target.h"

namespace kingcupmill {

// Simulates whole proxies, stand-in targets and the platform stand-in in one
// thread, without sockets and on virtual time, so that a run is reproducible
// from its seed.
class VirtualWorld {
 public:
  struct Options {
    uint64_t seed = 1;
    size_t group_count = 1;
    size_t proxy_count = 5;
    Duration replica_lag = std::chrono::milliseconds(50);
    std::optional<Safeguard> disabled_safeguard;
  };

  // A proxy with the in-memory adapters that it uses.
  struct Proxy {
    VmName vm;
    PlaceName place;
    DecisionLog log;
    std::unique_ptr<VirtualTargetConnector> connector;
    std::unique_ptr<VirtualPeerNetwork> peers;
    std::unique_ptr<VirtualPlatformLink> platform;
    std::unique_ptr<ProxyCore> core;
    std::unique_ptr<ControlAgent> control;
  };

  explicit VirtualWorld(Options options);
  ~VirtualWorld();
  VirtualWorld(const VirtualWorld&) = delete;
  VirtualWorld& operator=(const VirtualWorld&) = delete;

  VirtualScheduler& scheduler() { return this->virtual_scheduler; }
  StandinNetwork& network() { return *this->standin_network; }
  SeededRandom& random() { return this->random_source; }
  PlatformState& platform() { return this->platform_state; }
  VirtualPlatformLink::Faults& platform_faults() { return this->faults; }
  VirtualTargetConnector::Faults& answer_faults() {
    return this->target_answer_faults;
  }
  const Arrangement& arrangement() const { return this->declared; }
  const std::vector<PlaceName>& places() const { return this->place_names; }

  StandinTarget& target(const TargetName& name);
  std::vector<TargetName> TargetNames() const;
  std::vector<std::unique_ptr<Proxy>>& proxies() { return this->live_proxies; }

  // Starts a proxy in `place` under a new VM name and adds it to the platform's
  // list of VMs.
  Proxy& StartProxy(const PlaceName& place);
  // Ends a proxy without a graceful shutdown and removes its VM from the list.
  void KillProxy(size_t index);

  // Publishes `arrangement` as the next revision.
  void Publish(const Arrangement& arrangement);

  // Sets the state of a target's VM in the platform's list of VMs.
  void SetTargetState(const TargetName& name, VmState state);

  // Returns the running target that is primary in the highest term, or an empty
  // name if there is none.
  TargetName PrimaryOf(const GroupName& group);

 private:
  void DeclareArrangement();
  void StartTargets();

  Options options;
  SeededRandom random_source;
  VirtualScheduler virtual_scheduler;
  std::unique_ptr<StandinNetwork> standin_network;
  PlatformState platform_state;
  VirtualPlatformLink::Faults faults;
  VirtualTargetConnector::Faults target_answer_faults;
  Arrangement declared;
  std::vector<PlaceName> place_names;
  VirtualTargetConnector::Targets targets;
  VirtualPeerNetwork::Directory directory;
  std::vector<std::unique_ptr<Proxy>> live_proxies;
  uint64_t next_vm = 1;
  uint64_t next_change = 1;
};

}  // namespace kingcupmill

#endif  // LIBLAB_VIRTUAL_WORLD_H_
