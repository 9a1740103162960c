#ifndef LIBDISPATCH_READ_TARGETS_H_
#define LIBDISPATCH_READ_TARGETS_H_

#include <memory>

#include "LibCore/time.h"
#include "LibDispatch/Forward.h"

namespace kingcupmill {

// The cheapest targets that can serve a read, and their costs; null where there
// is none. The cost of a target in another zone includes that of the way.
struct ReadTargets {
  // With a free connection.
  std::shared_ptr<TargetView> best;
  Duration best_cost = Duration::max();
  // Without a free connection.
  std::shared_ptr<TargetView> best_without_connection;
  Duration best_cost_without_connection = Duration::max();
  // With a free connection and in the zone of this proxy.
  std::shared_ptr<TargetView> best_at_home;
  Duration best_cost_at_home = Duration::max();
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_READ_TARGETS_H_
