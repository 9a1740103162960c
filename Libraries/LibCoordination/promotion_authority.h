#ifndef LIBCOORDINATION_PROMOTION_AUTHORITY_H_
#define LIBCOORDINATION_PROMOTION_AUTHORITY_H_

#include <cstdint>
#include <functional>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// The platform's answer to an order to promote a target.
enum class PromotionOutcome {
  // The target is being promoted, or is the primary already.
  kAccepted,
  // The target is not running.
  kNotRunning,
  // No answer, or an unclear one: the promotion may have been started.
  kUnknown,
};

// Returns the name of an outcome in log lines.
inline const char* ToString(PromotionOutcome outcome) {
  switch (outcome) {
    case PromotionOutcome::kAccepted:
      return "accepted";
    case PromotionOutcome::kNotRunning:
      return "not_running";
    case PromotionOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

// Promotes targets on behalf of the proxies, and is the only way to replace a
// primary. Implemented by the platform's client.
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

  // Sends an order and calls `did_answer` with its outcome. After `timeout` the
  // order is abandoned and its connection closed.
  virtual void Promote(const Order& order,
                       Duration timeout,
                       DidAnswer did_answer) = 0;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_PROMOTION_AUTHORITY_H_
