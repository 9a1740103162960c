#ifndef LIBUSAGE_USAGE_TOKEN_H_
#define LIBUSAGE_USAGE_TOKEN_H_

#include <variant>

#include "LibCore/time.h"

namespace kingcupmill {

// The right to run one operation.
struct UsageToken {
  // Granted by the account until then; nothing was granted for a token of the
  // offline rate.
  TimePoint expires_at{};
  bool is_offline = false;
};

// Why an operation may not run.
struct UsageRefusal {
  // Without a holder of the account and an offline rate, nothing can be
  // admitted.
  bool is_limit_unknown = false;
  Duration retry_after{};
};

using UsageDecision = std::variant<UsageToken, UsageRefusal>;

}  // namespace kingcupmill

#endif  // LIBUSAGE_USAGE_TOKEN_H_
