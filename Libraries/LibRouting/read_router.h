#ifndef LIBROUTING_READ_ROUTER_H_
#define LIBROUTING_READ_ROUTER_H_

#include <map>
#include <optional>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibRouting/read_query.h"

namespace kingcupmill {

class GroupView;

// Chooses the target for a read by the session's point, the stated age and the
// estimated cost of each target.
class ReadRouter {
 public:
  // Whether a stated age is proven. Leaving it unproven is unsafe and exists
  // only to show that the proof is needed.
  enum class AgeCheck { kProven, kUnchecked };

  struct Options {
    AgeCheck age_check = AgeCheck::kProven;
    // How recent a majority confirmation must be for the primary to serve
    // reads without a session point or an age.
    Duration confirmation_window = std::chrono::milliseconds(500);
    // The longest wait for a replica to reach a position.
    Duration replica_wait_limit = std::chrono::milliseconds(40);
    // The price of a slot of the primary, in time a replica may take longer.
    Duration primary_slot_cost = std::chrono::milliseconds(25);
    // Subtracted from a stated age, because the answer takes time to arrive.
    Duration age_margin = std::chrono::milliseconds(20);
    // Whether replicas are used at all; off only as a baseline.
    bool uses_replicas = true;
  };

  explicit ReadRouter(Options options);

  ReadDecision Route(TimePoint now,
                     const ReadQuery& query,
                     const GroupView& view,
                     const std::map<TargetName, TargetLoad>& loads) const;

  // Returns whether an answer that has seen `position` satisfies the stated
  // age at the time `now`.
  bool is_young_enough(TimePoint now,
                       const ReadQuery& query,
                       Position position,
                       const GroupView& view) const;

 private:
  // Whether the session's point lies beyond everything that was acknowledged
  // before the read arrived, so that no honest proxy can have issued it.
  bool is_from_the_future(const ReadQuery& query, const GroupView& view) const;
  // What the chosen target must have reached; nothing when only a confirmed
  // primary will do.
  std::optional<Position> RequiredPosition(TimePoint now,
                                           const ReadQuery& query,
                                           const GroupView& view) const;
  bool is_primary_confirmed(TimePoint now,
                            const ReadQuery& query,
                            const GroupView& view) const;
  Duration ExpectedCatchUp(TimePoint now,
                           const TargetName& target,
                           Position required,
                           const GroupView& view) const;
  Duration ReplicaLag(const TargetName& target, const GroupView& view) const;

  Options options;
};

}  // namespace kingcupmill

#endif  // LIBROUTING_READ_ROUTER_H_
