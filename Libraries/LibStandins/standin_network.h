#ifndef LIBSTANDINS_STANDIN_NETWORK_H_
#define LIBSTANDINS_STANDIN_NETWORK_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/scheduler.h"

namespace kingcupmill {

// Simulates latency, partitions and paused processes between named nodes by
// delaying, dropping or queuing deliveries.
class StandinNetwork {
 public:
  struct Latencies {
    Duration within_place = Duration(100);
    Duration between_places = Duration(1000);
  };

  StandinNetwork(Scheduler& scheduler, Latencies latencies);

  // Sets the place of a node. All nodes without a place count as in the same
  // place.
  void SetPlace(const std::string& node, const PlaceName& place);

  // Runs `task` after the latency between the two nodes. Drops it if the nodes
  // are partitioned by then, and queues it while the receiver is paused.
  void Deliver(const std::string& from,
               const std::string& to,
               Scheduler::Task task);

  // Partitions two places from each other, in both directions.
  void PartitionPlaces(const PlaceName& first, const PlaceName& second);
  // Partitions one node from every other node.
  void IsolateNode(const std::string& node);
  // Ends every partition.
  void HealAll();

  // Queues deliveries to the node until Resume().
  void Pause(const std::string& node);
  void Resume(const std::string& node);

  bool is_paused(const std::string& node) const;
  bool is_partitioned(const std::string& from, const std::string& to) const;

 private:
  using PlacePair = std::pair<PlaceName, PlaceName>;

  PlaceName PlaceOf(const std::string& node) const;
  Duration LatencyBetween(const std::string& from, const std::string& to) const;
  void DidArrive(const std::string& from,
                 const std::string& to,
                 Scheduler::Task task);

  Scheduler& scheduler;
  Latencies latencies;
  std::map<std::string, PlaceName> places;
  std::set<PlacePair> partitioned_places;
  std::set<std::string> isolated_nodes;
  std::map<std::string, std::vector<Scheduler::Task>> queued_tasks;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_STANDIN_NETWORK_H_
