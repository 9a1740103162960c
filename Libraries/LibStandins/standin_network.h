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

// Delays, drops and holds back deliveries between named nodes, so that the
// stand-ins can show latency, partitions and paused processes.
class StandinNetwork {
 public:
  struct Latencies {
    Duration within_place = Duration(100);
    Duration between_places = Duration(1000);
  };

  StandinNetwork(Scheduler& scheduler, Latencies latencies);

  // Names the place of a node; unknown nodes count as in no place.
  void SetPlace(const std::string& node, const PlaceName& place);

  // Delivers `task` from one node to another after the latency between them;
  // drops it when the two are cut off from each other, and holds it back while
  // the receiver is paused.
  void Deliver(const std::string& from,
               const std::string& to,
               Scheduler::Task task);

  // Cuts two places off from each other, in both directions.
  void CutPlaces(const PlaceName& first, const PlaceName& second);
  // Cuts one node off from every other node.
  void CutNode(const std::string& node);
  // Ends every cut.
  void HealAll();

  void Pause(const std::string& node);
  void Resume(const std::string& node);

  bool is_paused(const std::string& node) const;
  bool is_cut(const std::string& from, const std::string& to) const;

 private:
  using PlacePair = std::pair<PlaceName, PlaceName>;

  PlaceName PlaceOf(const std::string& node) const;
  Duration LatencyBetween(const std::string& from, const std::string& to) const;
  void Arrive(const std::string& from,
              const std::string& to,
              Scheduler::Task task);

  Scheduler& scheduler;
  Latencies latencies;
  std::map<std::string, PlaceName> places;
  std::set<PlacePair> cut_places;
  std::set<std::string> cut_nodes;
  std::map<std::string, std::vector<Scheduler::Task>> held_back;
};

}  // namespace kingcupmill

#endif  // LIBSTANDINS_STANDIN_NETWORK_H_
