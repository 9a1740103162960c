#ifndef LIBEMULATOR_EMULATED_NODE_H_
#define LIBEMULATOR_EMULATED_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "LibDirectory/directory_codec.h"
#include "LibEmulator/emulated_group.h"
#include "LibEmulator/emulated_store.h"
#include "LibEmulator/emulated_traffic.h"
#include "LibEmulator/node_scheduler.h"
#include "LibGateway/gateway.h"

namespace kingcupmill {

// The pairs of endpoints that cannot reach each other. An endpoint is the
// address of a proxy or the name of a target.
class NetworkPartitions {
 public:
  // All pairs that one fault blocked are healed together.
  using Fault = uint64_t;

  void Block(Fault fault, const std::string& from, const std::string& to) {
    this->pairs_by_fault[fault].emplace(from, to);
  }
  void Heal(Fault fault) { this->pairs_by_fault.erase(fault); }
  void HealAll() { this->pairs_by_fault.clear(); }
  bool is_blocked(const std::string& from, const std::string& to) const {
    for (const auto& [fault, pairs] : this->pairs_by_fault) {
      if (pairs.contains({from, to}) || pairs.contains({to, from}))
        return true;
    }
    return false;
  }

 private:
  std::map<Fault, std::set<std::pair<std::string, std::string>>> pairs_by_fault;
};

// One proxy with emulated dependencies. Its process can be killed and started
// again.
class EmulatedNode {
 public:
  // Finds the proxy at an address, or returns null.
  using FindNode = std::function<EmulatedNode*(const std::string&)>;

  struct Dependencies {
    VirtualScheduler& cluster_scheduler;
    EmulatedStore& store;
    NetworkPartitions& partitions;
    EmulatedTraffic& traffic;
    const DirectoryCodec& codec;
    std::map<GroupName, std::unique_ptr<EmulatedGroup>>& groups;
    FindNode find_node;
    ZoneTraffic zone_traffic = ZoneTraffic::kFixedPenalty;
  };

  EmulatedNode(Dependencies dependencies, std::string address, PlaceName place);
  ~EmulatedNode();

  void Start(uint64_t seed);
  void Kill();
  // Kills the process. The targets keep its connections open until they time
  // out.
  void LosePower();
  // Asks the process to stop, as a signal does, and kills it if it still runs
  // after `grace`. Calls `did_end` once the process has ended.
  void Stop(Duration grace, std::function<void()> did_end);
  void Freeze(Duration duration);
  void SetStoreFault(EmulatedStoreAccess::Fault fault);
  // All open connections of the process to the store, to targets and to other
  // proxies fall silent for good. New ones work.
  void SilenceConnections();
  // The same for the polls of one table of the store.
  void SilencePolls(std::string_view table);
  // The process gets no response to reads of one table of the store.
  void SetSilentTable(std::string_view table);

  // Null while the process is down.
  Gateway* gateway();

  // Sessions of callers, which end with the process.
  using SessionNumber = uint64_t;
  // Returns nothing when the process is down, accepts no sessions, or does not
  // know the database or the key.
  std::optional<SessionNumber> OpenSession(CallerChannel& channel,
                                           const std::string& database,
                                           const std::string& key = {});
  bool has_session(SessionNumber number) const;
  void SendTo(SessionNumber number, CallerStatement statement);
  void CloseSession(SessionNumber number);

  const std::string& address() const { return this->node_address; }
  bool is_frozen() const;

 private:
  class Dialer;
  class Links;
  class Authority;
  struct Process;

  void DidStop(uint64_t stopped_start);

  Dependencies dependencies;
  std::string node_address;
  PlaceName place;
  std::unique_ptr<Process> process;
  uint64_t starts = 0;
  bool is_losing_power = false;
  std::function<void()> did_end_stop;
  SessionNumber next_session = 1;
  TimePoint frozen_until{};
  EmulatedStoreAccess::Fault store_fault = EmulatedStoreAccess::Fault::kNone;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_NODE_H_
