#include "LibRouting/read_router.h"

#include <algorithm>

#include "LibFailover/group_view.h"

namespace kingcupmill {

ReadRouter::ReadRouter(Options options) : options(options) {}

ReadDecision ReadRouter::Route(
    TimePoint now,
    const ReadQuery& query,
    const GroupView& view,
    const std::map<TargetName, TargetLoad>& loads) const {
  ReadDecision best;
  best.reason = "no target qualifies yet";
  const auto primary = view.primary();
  if (this->is_ahead_of_group(query, view)) {
    best.kind = ReadDecision::Kind::kFail;
    best.reason = "the session token is ahead of the group";
    return best;
  }
  const auto required = this->RequiredPosition(now, query, view);
  const bool is_primary_usable =
      primary && this->may_use_primary(now, query, view);

  std::optional<Duration> best_cost;
  for (const auto& [target, load] : loads) {
    const auto* observation = view.Find(target);
    if (!observation || !observation->is_reachable)
      continue;
    const bool is_primary = primary && primary->target == target;
    if (load.is_leaving && !is_primary)
      continue;
    Duration cost = load.expected_wait + load.round_trip;
    Duration catch_up{0};
    if (is_primary) {
      if (!is_primary_usable)
        continue;
      cost += this->options.primary_slot_cost;
    } else {
      if (!required || !this->options.uses_replicas)
        continue;
      catch_up = this->ExpectedCatchUp(now, target, *required, view);
      if (catch_up > this->options.replica_wait_limit)
        continue;
      cost += catch_up;
    }
    if (best_cost && *best_cost <= cost)
      continue;
    best_cost = cost;
    best.kind = ReadDecision::Kind::kSend;
    best.target = target;
    best.is_primary = is_primary;
    best.minimum_position = required.value_or(Position{});
    best.wait = this->options.replica_wait_limit;
    best.reason = is_primary ? "primary has the lowest cost"
                             : "replica has the lowest cost";
  }
  return best;
}

bool ReadRouter::is_ahead_of_group(const ReadQuery& query,
                                   const GroupView& view) const {
  if (!query.session_point ||
      query.session_point->position <= view.confirmed()) {
    return false;
  }
  const auto primary = view.primary();
  const auto confirmed_at = view.majority_confirmed_at();
  if (!primary || !confirmed_at || *confirmed_at < query.arrived_at)
    return false;
  const auto* observation = view.Find(primary->target);
  return observation->sent_at >= query.arrived_at &&
         observation->status.confirmed.term == primary->term;
}

std::optional<Position> ReadRouter::RequiredPosition(
    TimePoint now,
    const ReadQuery& query,
    const GroupView& view) const {
  Position required;
  if (query.session_point)
    required = query.session_point->position;
  if (!query.maximum_age) {
    if (!query.session_point)
      return std::nullopt;
    return required;
  }
  if (this->options.age_check == AgeCheck::kUnchecked)
    return required;
  // The margin is at most half of the maximum age, because a margin that uses
  // up a short maximum age would reject reads that can be served.
  const Duration margin =
      std::min(this->options.age_margin, *query.maximum_age / 2);
  const auto fresh_position = view.staleness_tracker().LowestPositionFreshAt(
      now - *query.maximum_age + margin);
  if (!fresh_position)
    return std::nullopt;
  return std::max(required, *fresh_position);
}

bool ReadRouter::may_use_primary(TimePoint now,
                                 const ReadQuery& query,
                                 const GroupView& view) const {
  // A session point needs no confirmed primary: the target waits until it has
  // reached that position.
  if (query.session_point && !query.maximum_age)
    return true;
  const auto primary = view.primary();
  const auto confirmed_at = view.majority_confirmed_at();
  if (!primary || !confirmed_at)
    return false;
  // Until a new primary has confirmed an entry of its own term, acknowledged
  // entries of earlier terms may be missing from what its reads see.
  const auto* observation = view.Find(primary->target);
  if (observation->status.confirmed.term != primary->term)
    return false;
  Duration window = this->options.confirmation_window;
  if (query.maximum_age)
    window = std::min(window, *query.maximum_age);
  return now - *confirmed_at <= window;
}

bool ReadRouter::is_fresh_enough(TimePoint now,
                                 const ReadQuery& query,
                                 Position position,
                                 const GroupView& view) const {
  if (!query.maximum_age || this->options.age_check == AgeCheck::kUnchecked) {
    return true;
  }
  const auto fresh_at = view.staleness_tracker().LastFreshAt(position);
  return fresh_at && now - *fresh_at <= *query.maximum_age;
}

Duration ReadRouter::ExpectedCatchUp(TimePoint now,
                                     const TargetName& target,
                                     Position required,
                                     const GroupView& view) const {
  const auto* observation = view.Find(target);
  if (observation->status.visible >= required)
    return Duration(0);
  // The position was confirmed after the last sample below it was taken.
  const auto known_at =
      view.staleness_tracker().LastFreshAt(Position{required.value - 1});
  if (!known_at)
    return Duration::max() / 4;
  const TimePoint expected_at = *known_at + this->ReplicaLag(target, view);
  return std::max(Duration(0), expected_at - now);
}

Duration ReadRouter::ReplicaLag(const TargetName& target,
                                const GroupView& view) const {
  const auto* observation = view.Find(target);
  const auto fresh_at =
      view.staleness_tracker().LastFreshAt(observation->status.visible);
  if (!fresh_at)
    return Duration::max() / 4;
  return std::max(Duration(0), observation->received_at - *fresh_at);
}

}  // namespace kingcupmill
