#ifndef LIBUSAGE_USAGE_TOKEN_H_
#define LIBUSAGE_USAGE_TOKEN_H_

#include <variant>

#include "LibCore/time.h"

namespace kingcupmill {

// The right to run one operation.
struct UsageToken {
  enum class Source { kAccount, kOfflineRate, kPool };
  Source source = Source::kAccount;
  // Only for tokens of the account.
  TimePoint expires_at{};
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
