#ifndef LIBFAILOVER_PROMOTION_ACTION_H_
#define LIBFAILOVER_PROMOTION_ACTION_H_

#include <variant>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Seal `term` on a target: ask the target to grant the term to this proxy and
// to reject every lower term from then on.
struct SealTarget {
  TargetName target;
  Term term;
};

// Make a target the primary of a term that a majority has granted.
struct LeadTarget {
  TargetName target;
  Term term;
};

// Ask a primary that is about to be removed to refuse new writes for
// `duration`.
struct HoldWrites {
  TargetName target;
  Term term;
  Duration duration;
};

// Record the new primary in the platform's table.
struct RecordPrimary {
  TargetName target;
  Term term;
};

// An action that a Promoter asks its caller to carry out.
using PromotionAction =
    std::variant<SealTarget, LeadTarget, HoldWrites, RecordPrimary>;

}  // namespace kingcupmill

#endif  // LIBFAILOVER_PROMOTION_ACTION_H_
