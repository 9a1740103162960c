#ifndef LIBFAILOVER_PROMOTION_ACTION_H_
#define LIBFAILOVER_PROMOTION_ACTION_H_

#include <variant>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Ask a target to grant a term.
struct SealTarget {
  TargetName target;
  Term term;
};

// Ask a target to lead a term that a majority has granted.
struct LeadTarget {
  TargetName target;
  Term term;
};

// Ask the leaving primary to refuse new writes for a while.
struct HoldWrites {
  TargetName target;
  Term term;
  Duration duration;
};

// Write the new primary into the platform's table.
struct RecordPrimary {
  TargetName target;
  Term term;
};

// What a Promoter wants done.
using PromotionAction =
    std::variant<SealTarget, LeadTarget, HoldWrites, RecordPrimary>;

}  // namespace kingcupmill

#endif  // LIBFAILOVER_PROMOTION_ACTION_H_
