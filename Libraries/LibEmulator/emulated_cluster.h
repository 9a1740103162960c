#ifndef LIBEMULATOR_EMULATED_CLUSTER_H_
#define LIBEMULATOR_EMULATED_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/virtual_scheduler.h"
#include "LibDirectory/directory_codec.h"
#include "LibEmulator/consistency_checker.h"
#include "LibEmulator/emulated_balancer.h"
#include "LibEmulator/emulated_caller.h"
#include "LibEmulator/emulated_group.h"
#include "LibEmulator/emulated_node.h"
#include "LibEmulator/emulated_store.h"
#include "LibEmulator/emulated_traffic.h"

namespace kingcupmill {

// A cluster of proxies, targets, the store and callers on virtual time, with
// fault injection.
class EmulatedCluster {
 public:
  struct Options {
    uint64_t seed = 1;
    size_t nodes = 5;
    size_t groups = 1;
    size_t callers = 12;
    // How many replicas must have a commit before it is acknowledged.
    size_t synchronous_replicas = 0;
    // The number of places with proxies; targets are in the first three.
    size_t places = 3;
    // Whether proxies start first, as when a whole system starts: the
    // configuration is published later, and targets register one by one.
    bool starts_before_targets = false;
    // Whether callers use only proxies that the balancer has in rotation;
    // otherwise they use any proxy.
    bool has_balancer = false;
    // How many customers are declared. If there are any, each caller has the
    // key of one of them.
    size_t customers = 0;
    // How proxies decide which statements leave their place.
    ZoneTraffic zone_traffic = ZoneTraffic::kFixedPenalty;
  };

  explicit EmulatedCluster(Options options);
  ~EmulatedCluster();

  // Starts the proxies, runs 4 s until all can serve and starts the callers.
  void Start();
  void RunFor(Duration duration) { this->scheduler.RunFor(duration); }

  // Injects a random fault, which ends by itself.
  void InjectFault();
  // Ends partitions, store faults and replication lag. Other faults end by
  // themselves.
  void HealAll();

  void KillNode(size_t index, Duration down);
  void LosePowerOfAllNodes(Duration down);
  // Adds proxies with new addresses.
  void AddNodes(size_t count);
  // Isolates a place: its proxies from the store, and its proxies and targets
  // from every proxy and target outside. Callers still reach its proxies.
  void PartitionPlace(size_t place, Duration duration);
  size_t PlaceOf(size_t node) const { return node % this->options.places; }
  // Stops a proxy as an operator does. It starts again `down` after its
  // process ended.
  void StopNode(size_t index, Duration down);
  void FreezeNode(size_t index, Duration duration);
  void FailStore(size_t index,
                 EmulatedStoreAccess::Fault fault,
                 Duration duration);
  void PartitionNodeFromTarget(size_t node, const TargetName& target);
  void PartitionNodes(size_t one, size_t other);
  // Puts a group's primary and one or two proxies on one side, and its
  // replicas, the store and the other proxies on the other side.
  void PartitionPrimary(size_t group_index, Duration duration);
  void CrashTarget(const TargetName& target, Duration down);
  // The target announces that it is leaving, ends later and starts again.
  void ReleaseTarget(const TargetName& target);
  // The entry of a target that keeps running expires in the store and does not
  // return for `duration`.
  void ExpireTargetEntry(const TargetName& target, Duration duration);
  // Commits reach one replica only after `lag`.
  void SlowReplication(const TargetName& target,
                       Duration lag,
                       Duration duration);
  void FailStatus(const TargetName& target,
                  EmulatedStatusFault fault,
                  Duration duration);
  void ChangeConfiguration();
  void ChangeConfigurationAfter(Duration delay);
  // Publishes a configuration in which a customer has no key, or has it again.
  void RemoveKey(size_t customer);
  void AddKey(size_t customer);
  // The number of proxies that open a session with the key of a customer.
  size_t NodesAccepting(size_t customer);
  // The number of sessions that callers of a customer have open.
  size_t SessionsOf(size_t customer) const;
  Revision published_revision() const { return Revision{this->revision}; }
  // All open connections of a proxy, or of all of them, fall silent for good.
  // New ones work.
  void SilenceConnections(size_t index);
  void SilenceAllConnections();
  // The same for a proxy's polls of the configuration.
  void SilenceConfigurationPolls(size_t index);
  // From now on, the running process of a proxy cannot read the configuration
  // from the store, but all other tables.
  void HideConfiguration(size_t index);
  // The number of running proxies that use an older configuration than the
  // published one.
  size_t OutdatedNodes();
  // The store is silent for `away` and comes back without the changes of `lost`
  // before that. Targets and the operator write their rows again.
  void RestoreStore(Duration lost, Duration away);

  EmulatedGroup& group(size_t index);
  EmulatedNode& node(size_t index) { return *this->nodes[index]; }
  ConsistencyChecker& checker() { return this->consistency_checker; }
  EmulatedTraffic& traffic() { return this->emulated_traffic; }
  EmulatedStore& store() { return this->emulated_store; }
  EmulatedCaller::Counts TotalCounts() const;
  // The number of fault kinds that InjectFault() chooses from.
  static constexpr uint64_t kFaultKinds = 15;

 private:
  class Codec;

  void PublishTarget(const EmulatedTarget& target,
                     const GroupName& group,
                     bool is_leaving);
  void PublishRoles();
  // Writes the entries of registered targets that the store does not have.
  void PublishTargets();
  void PublishConfiguration();
  EmulatedNode::Dependencies NodeDependencies();
  // The proxies at which callers may open sessions.
  std::vector<size_t> Candidates() const;
  std::unique_ptr<CallerPort> OpenPort(CallerChannel& channel,
                                       const std::string& database,
                                       const std::string& key);
  EmulatedTarget& RandomTarget();
  GroupName GroupOf(const TargetName& target);

  Options options;
  VirtualScheduler scheduler;
  SeededRandom random;
  ConsistencyChecker consistency_checker;
  EmulatedStore emulated_store;
  NetworkPartitions partitions;
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
  // Targets whose entries are not written.
  std::set<TargetName> expired;
  std::map<TargetName, TargetEntry> published;
  uint64_t revision = 0;
  std::set<size_t> customers_without_key;
  // The newest configuration as written to the store.
  std::string configuration;
  TimePoint started_at{};
  NetworkPartitions::Fault fault = 0;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_CLUSTER_H_
