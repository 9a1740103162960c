#ifndef LIBCOORDINATION_SUCCESSOR_CHOICE_H_
#define LIBCOORDINATION_SUCCESSOR_CHOICE_H_

#include <optional>
#include <span>
#include <vector>

#include "LibCore/names.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// A target that may succeed a primary, and what is known of its log. Reports
// count only if they were requested when no proxy could use the old primary any
// more: later commits are not acknowledged.
struct SuccessorCandidate {
  // How long the target can lead; the greater the longer.
  enum class Standing {
    // Its entry is gone from the store, or it ends so soon that it could hardly
    // serve.
    kEnding,
    // It shuts down, but serves for a while.
    kLeaving,
    kReady,
  };

  TargetName name;
  Standing standing = Standing::kReady;
  // Whether a recent order to promote it failed.
  bool is_excluded = false;
  // Whether it may have counted toward an acknowledgement. The old primary,
  // which acknowledges, does not.
  bool is_replica = true;
  std::optional<TargetReport> report;
};

// Which target should succeed a primary.
struct SuccessorChoice {
  // Nothing while no target that may be promoted has reported.
  std::optional<TargetName> target;
  // The end of its log.
  LogPoint received;
  // Whether its log holds every commit that was acknowledged. Always true
  // without synchronous replicas, whose acknowledgements promise nothing about
  // other targets.
  bool is_safe = false;
  // Whether every candidate that is not excluded has reported.
  bool is_complete = true;
  // The replicas that have not reported.
  std::vector<TargetName> missing;
};

// Chooses the successor of a primary whose log ended at `final_point`, if that
// is known.
//
// A commit is acknowledged once `synchronous_replicas` replicas have received
// it. If fewer replicas than that are missing, one that has reported holds
// every acknowledged commit, and so does the one whose log ends furthest. So
// does a target that has reached the end of the old primary's log.
//
// Without synchronous replicas, the furthest log loses least, but a target that
// ends soon is chosen only if there is no other.
SuccessorChoice ChooseSuccessor(std::span<const SuccessorCandidate> candidates,
                                int synchronous_replicas,
                                std::optional<LogPoint> final_point);

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_SUCCESSOR_CHOICE_H_
