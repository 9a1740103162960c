#ifndef LIBCOORDINATION_PROMOTION_AUTHORITY_H_
#define LIBCOORDINATION_PROMOTION_AUTHORITY_H_

#include <cstdint>
#include <functional>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// What the outside authority said to the order that a target take over.
enum class PromotionOutcome {
  // The target takes over, or leads already.
  kAccepted,
  // The target is not running.
  kNotRunning,
  // Nothing is known; the order may have been taken.
  kUnknown,
};

// The only way to replace a primary.
class PromotionAuthority {
 public:
  struct Order {
    GroupName group;
    TargetName target;
    VmName holder;
    uint64_t epoch = 0;
  };
  using DidAnswer = std::function<void(PromotionOutcome)>;

  virtual ~PromotionAuthority() = default;

  // Sends an order. It is given up, and its connection closed, after
  // `timeout`.
  virtual void Promote(const Order& order,
                       Duration timeout,
                       DidAnswer did_answer) = 0;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_PROMOTION_AUTHORITY_H_
