#ifndef LIBDISPATCH_EVENT_LOG_H_
#define LIBDISPATCH_EVENT_LOG_H_

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/scheduler.h"

namespace kingcupmill {

// Writes the structured log: one line for each decision that affects a request
// and for each change in what this process knows of the group. Each kind of
// line has its own rate limit; one line reports how many were dropped. Failures
// have the largest limit.
class EventLog {
 public:
  enum class Kind {
    kRouted,
    kRefused,
    kFailed,
    kStateChange,
    kReassigned,
    kCount
  };

  explicit EventLog(Scheduler& scheduler);

  template <typename... Arguments>
  void Write(Kind kind,
             fmt::format_string<Arguments...> format,
             Arguments&&... arguments) {
    if (!this->ConsumeToken(kind))
      return;
    this->WriteLine(kind,
                    fmt::format(format, std::forward<Arguments>(arguments)...));
  }

 private:
  struct TokenBucket {
    double tokens = 0;
    TimePoint refilled_at{};
    uint64_t dropped = 0;
  };

  bool ConsumeToken(Kind kind);
  void WriteLine(Kind kind, std::string_view line);

  Scheduler& scheduler;
  std::array<TokenBucket, static_cast<size_t>(Kind::kCount)> buckets;
};

}  // namespace kingcupmill

#endif  // LIBDISPATCH_EVENT_LOG_H_
