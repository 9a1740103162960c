#ifndef LIBROUTING_READ_ROUTER_H_
#define LIBROUTING_READ_ROUTER_H_

#include <map>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibRouting/read_query.h"

namespace kingcupmill {

class GroupView;

// Chooses the target with the lowest estimated cost among those that meet the
// consistency requirements of a read.
class ReadRouter {
 public:
  // Whether a maximum age is enforced. kUnchecked is unsafe and exists only to
  // show that the check is needed.
  enum class AgeCheck { kEnforced, kUnchecked };

  struct Options {
    AgeCheck age_check = AgeCheck::kEnforced;
    // How recently a majority must have confirmed the primary for it to serve
    // reads that have neither a session point nor a maximum age.
    Duration confirmation_window = std::chrono::milliseconds(500);
    // The longest time to wait until a replica reaches a position.
    Duration replica_wait_limit = std::chrono::milliseconds(40);
    // Added to the primary's cost. A replica is preferred to the primary as
    // long as it is slower by less than this.
    Duration primary_slot_cost = std::chrono::milliseconds(25);
    // Subtracted from a read's maximum age, because the response takes time to
    // arrive.
    Duration age_margin = std::chrono::milliseconds(20);
    // Whether replicas serve reads. Disabled only to measure a baseline.
    bool uses_replicas = true;
  };

  explicit ReadRouter(Options options);

  // Returns the routing decision for `query` at the time `now`. Only the
  // targets in `loads` are considered.
  ReadDecision Route(TimePoint now,
                     const ReadQuery& query,
                     const GroupView& view,
                     const std::map<TargetName, TargetLoad>& loads) const;

  // Returns whether a result that includes `position` satisfies the maximum age
  // of `query` at the time `now`.
  bool is_fresh_enough(TimePoint now,
                       const ReadQuery& query,
                       Position position,
                       const GroupView& view) const;

 private:
  // Returns whether the session's point lies beyond everything that had been
  // acknowledged before the read arrived. No proxy can have issued such a
  // token.
  bool is_ahead_of_group(const ReadQuery& query, const GroupView& view) const;
  // Returns the position that the chosen target must have reached, or nothing
  // when only a confirmed primary may serve the read.
  std::optional<Position> RequiredPosition(TimePoint now,
                                           const ReadQuery& query,
                                           const GroupView& view) const;
  // Returns whether the primary may serve `query`.
  bool may_use_primary(TimePoint now,
                       const ReadQuery& query,
                       const GroupView& view) const;
  // Returns the estimated time until `target` has reached `required`.
  Duration ExpectedCatchUp(TimePoint now,
                           const TargetName& target,
                           Position required,
                           const GroupView& view) const;
  Duration ReplicaLag(const TargetName& target, const GroupView& view) const;

  Options options;
};

}  // namespace kingcupmill

#endif  // LIBROUTING_READ_ROUTER_H_
