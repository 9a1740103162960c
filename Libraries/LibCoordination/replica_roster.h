#ifndef LIBCOORDINATION_REPLICA_ROSTER_H_
#define LIBCOORDINATION_REPLICA_ROSTER_H_

#include <cstdint>
#include <map>
#include <string>

#include "LibCore/names.h"

namespace kingcupmill {

// The row of a group with synchronous replicas in the coordination table: the
// targets that may hold an acknowledged commit which no listed target holds. A
// target remains in it after its entry in the store has expired, so that also a
// proxy that starts later waits for its report.
struct ReplicaRoster {
  struct Replica {
    // "IP:port".
    std::string address;
    PlaceName place;
    // Whether the target was shutting down when it was last listed. Its log
    // then goes to the next target at its address.
    bool is_leaving = false;
    friend bool operator==(const Replica&, const Replica&) = default;
  };

  GroupName group;
  std::map<TargetName, Replica> replicas;
  uint64_t version = 0;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_REPLICA_ROSTER_H_
