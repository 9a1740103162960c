#ifndef LIBEMULATOR_EMULATED_WORLD_H_
#define LIBEMULATOR_EMULATED_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/virtual_scheduler.h"
#include "LibDirectory/directory_codec.h"
#include "LibEmulator/emulated_balancer.h"
#include "LibEmulator/emulated_caller.h"
#include "LibEmulator/emulated_group.h"
#include "LibEmulator/emulated_node.h"
#include "LibEmulator/emulated_store.h"
#include "LibEmulator/emulated_traffic.h"
#include "LibEmulator/promise_checker.h"

namespace kingcupmill {

// Proxies, targets, the store and callers on virtual time, with faults.
class EmulatedWorld {
 public:
  struct Options {
    uint64_t seed = 1;
    size_t nodes = 5;
    size_t groups = 1;
    size_t callers = 12;
    // Places of proxies; targets are in the first three.
    size_t places = 3;
    // Whether proxies start first, as where a whole system starts: then the
    // configuration is published, and targets register one after the other.
    bool starts_before_targets = false;
    // Whether callers go only where the balancer sends them; else to any proxy.
    bool has_balancer = false;
  };

  explicit EmulatedWorld(Options options);
  ~EmulatedWorld();

  // Starts proxies, and callers once all can serve.
  void Start();
  void RunFor(Duration duration) { this->scheduler.RunFor(duration); }

  // One fault at random, which ends by itself.
  void InjectFault();
  // Ends every fault.
  void HealAll();

  void KillNode(size_t index, Duration down);
  void LosePowerOfAll(Duration down);
  // Starts proxies at new addresses.
  void AddNodes(size_t count);
  // Cuts a place off: its proxies from the store, and its proxies and targets
  // from everything outside. Callers of its proxies stay with them.
  void CutPlace(size_t place, Duration duration);
  size_t PlaceOf(size_t node) const { return node % this->options.places; }
  // Stops a proxy as an operator does; it starts again `down` after its end.
  void StopNode(size_t index, Duration down);
  void FreezeNode(size_t index, Duration duration);
  void FailStore(size_t index,
                 EmulatedStoreAccess::Fault fault,
                 Duration duration);
  void CutNodeFromTarget(size_t node, const TargetName& target);
  void CutNodes(size_t one, size_t other);
  // A group's primary and some proxies on one side; its replicas, the store and
  // the other proxies on the other.
  void SplitFromPrimary(size_t group_index, Duration duration);
  void CrashTarget(const TargetName& target, Duration down);
  // The target says that it is leaving and ends later; a new start follows.
  void ReleaseTarget(const TargetName& target);
  void ChangeConfiguration();

  EmulatedGroup& group(size_t index);
  EmulatedNode& node(size_t index) { return *this->nodes[index]; }
  PromiseChecker& checker() { return this->promise_checker; }
  EmulatedTraffic& traffic() { return this->emulated_traffic; }
  EmulatedStore& store() { return this->emulated_store; }
  EmulatedCaller::Counts TotalCounts() const;
  // How many kinds of faults InjectFault() chooses from.
  static constexpr uint64_t kFaultKinds = 15;

 private:
  class Codec;

  void PublishTarget(const EmulatedTarget& target,
                     const GroupName& group,
                     bool is_leaving);
  void PublishRoles();
  void PublishConfiguration();
  EmulatedNode::Surroundings SurroundingsOfNodes();
  // Where callers' sessions go, which a test may choose.
  std::vector<size_t> Candidates() const;
  std::unique_ptr<CallerPort> OpenPort(CallerChannel& channel,
                                       const std::string& database);
  EmulatedTarget& RandomTarget();
  GroupName GroupOf(const TargetName& target);

  Options options;
  VirtualScheduler scheduler;
  SeededRandom random;
  PromiseChecker promise_checker;
  EmulatedStore emulated_store;
  EmulatedCuts cuts;
  EmulatedTraffic emulated_traffic;
  std::unique_ptr<Codec> codec;
  std::map<GroupName, std::unique_ptr<EmulatedGroup>> groups;
  std::vector<std::unique_ptr<EmulatedNode>> nodes;
  std::map<std::string, EmulatedNode*> node_by_address;
  bool is_started = false;
  EmulatedBalancer balancer;
  std::vector<std::unique_ptr<EmulatedCaller>> callers;
  std::map<TargetName, int64_t> starts;
  std::map<TargetName, bool> is_leaving;
  std::map<TargetName, TargetEntry> published;
  uint64_t revision = 0;
  TimePoint started_at{};
  EmulatedCuts::Fault fault = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_WORLD_H_
