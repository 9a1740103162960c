#include "LibStandins/standin_network.h"

namespace kingcupmill {

StandinNetwork::StandinNetwork(Scheduler& scheduler, Latencies latencies)
    : scheduler(scheduler), latencies(latencies) {}

void StandinNetwork::SetPlace(const std::string& node, const PlaceName& place) {
  this->places[node] = place;
}

void StandinNetwork::Deliver(const std::string& from,
                             const std::string& to,
                             Scheduler::Task task) {
  this->scheduler.PostAfter(this->LatencyBetween(from, to),
                            [this, from, to, task = std::move(task)] {
                              this->DidArrive(from, to, task);
                            });
}

void StandinNetwork::DidArrive(const std::string& from,
                               const std::string& to,
                               Scheduler::Task task) {
  if (this->is_partitioned(from, to))
    return;
  const auto queue = this->queued_tasks.find(to);
  if (queue != this->queued_tasks.end()) {
    queue->second.push_back(std::move(task));
    return;
  }
  task();
}

void StandinNetwork::PartitionPlaces(const PlaceName& first,
                                     const PlaceName& second) {
  this->partitioned_places.insert({first, second});
  this->partitioned_places.insert({second, first});
}

void StandinNetwork::IsolateNode(const std::string& node) {
  this->isolated_nodes.insert(node);
}

void StandinNetwork::HealAll() {
  this->partitioned_places.clear();
  this->isolated_nodes.clear();
}

void StandinNetwork::Pause(const std::string& node) {
  this->queued_tasks.try_emplace(node);
}

void StandinNetwork::Resume(const std::string& node) {
  auto queued = this->queued_tasks.extract(node);
  if (queued.empty())
    return;
  for (Scheduler::Task& task : queued.mapped())
    this->scheduler.Post(std::move(task));
}

bool StandinNetwork::is_paused(const std::string& node) const {
  return this->queued_tasks.contains(node);
}

bool StandinNetwork::is_partitioned(const std::string& from,
                                    const std::string& to) const {
  if (from == to)
    return false;
  if (this->isolated_nodes.contains(from) || this->isolated_nodes.contains(to))
    return true;
  return this->partitioned_places.contains(
      {this->PlaceOf(from), this->PlaceOf(to)});
}

PlaceName StandinNetwork::PlaceOf(const std::string& node) const {
  const auto place = this->places.find(node);
  return place == this->places.end() ? PlaceName{} : place->second;
}

Duration StandinNetwork::LatencyBetween(const std::string& from,
                                        const std::string& to) const {
  return this->PlaceOf(from) == this->PlaceOf(to)
             ? this->latencies.within_place
             : this->latencies.between_places;
}

}  // namespace kingcupmill
