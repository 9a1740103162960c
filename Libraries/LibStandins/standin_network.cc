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
                              this->Arrive(from, to, task);
                            });
}

void StandinNetwork::Arrive(const std::string& from,
                            const std::string& to,
                            Scheduler::Task task) {
  if (this->is_cut(from, to))
    return;
  const auto paused = this->held_back.find(to);
  if (paused != this->held_back.end()) {
    paused->second.push_back(std::move(task));
    return;
  }
  task();
}

void StandinNetwork::CutPlaces(const PlaceName& first,
                               const PlaceName& second) {
  this->cut_places.insert({first, second});
  this->cut_places.insert({second, first});
}

void StandinNetwork::CutNode(const std::string& node) {
  this->cut_nodes.insert(node);
}

void StandinNetwork::HealAll() {
  this->cut_places.clear();
  this->cut_nodes.clear();
}

void StandinNetwork::Pause(const std::string& node) {
  this->held_back.try_emplace(node);
}

void StandinNetwork::Resume(const std::string& node) {
  auto held = this->held_back.extract(node);
  if (held.empty())
    return;
  for (Scheduler::Task& task : held.mapped())
    this->scheduler.Post(std::move(task));
}

bool StandinNetwork::is_paused(const std::string& node) const {
  return this->held_back.contains(node);
}

bool StandinNetwork::is_cut(const std::string& from,
                            const std::string& to) const {
  if (from == to)
    return false;
  if (this->cut_nodes.contains(from) || this->cut_nodes.contains(to))
    return true;
  return this->cut_places.contains({this->PlaceOf(from), this->PlaceOf(to)});
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
