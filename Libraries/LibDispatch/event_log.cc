#include "LibDispatch/event_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace kingcupmill {

namespace {

// Lines per second and burst size of each kind. Routed statements are sampled
// so that logging costs less than 1 % of a small VM's core.
struct RateLimit {
  const char* name;
  double per_second;
  double burst;
  spdlog::level::level_enum level;
};
constexpr std::array<RateLimit, 5> kRateLimits = {{
    {"routed", 20, 40, spdlog::level::info},
    {"refused", 50, 100, spdlog::level::info},
    {"failed", 100, 200, spdlog::level::warn},
    {"state_change", 50, 200, spdlog::level::info},
    // At most the open rate of each target, 14 a second in the usual size.
    {"reassigned", 50, 100, spdlog::level::info},
}};

// Lines contain identifiers, names and messages that callers choose, of up to
// 1 MiB. The start of a longer line has the event and the end has the figures.
constexpr size_t kMaximumLineStart = 1'024;
constexpr size_t kMaximumLineEnd = 256;

}  // namespace

EventLog::EventLog(Scheduler& scheduler) : scheduler(scheduler) {
  for (size_t index = 0; index < this->buckets.size(); ++index) {
    this->buckets.at(index).tokens = kRateLimits.at(index).burst;
    this->buckets.at(index).refilled_at = scheduler.Now();
  }
}

bool EventLog::ConsumeToken(Kind kind) {
  TokenBucket& bucket = this->buckets.at(static_cast<size_t>(kind));
  const RateLimit& rate_limit = kRateLimits.at(static_cast<size_t>(kind));
  const TimePoint now = this->scheduler.Now();
  const double seconds =
      std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.refilled_at = now;
  bucket.tokens = std::min(rate_limit.burst,
                           bucket.tokens + seconds * rate_limit.per_second);
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void EventLog::WriteLine(Kind kind, std::string_view line) {
  TokenBucket& bucket = this->buckets.at(static_cast<size_t>(kind));
  const auto& [name, per_second, burst, level] =
      kRateLimits.at(static_cast<size_t>(kind));
  if (bucket.dropped > 0) {
    spdlog::log(level, "event=lines_dropped kind={} count={}", name,
                std::exchange(bucket.dropped, 0));
  }
  if (line.size() <= kMaximumLineStart + kMaximumLineEnd)
    return spdlog::log(level, "{}", line);
  spdlog::log(level, "{}[{} bytes left out]{}",
              line.substr(0, kMaximumLineStart),
              line.size() - kMaximumLineStart - kMaximumLineEnd,
              line.substr(line.size() - kMaximumLineEnd));
}

}  // namespace kingcupmill
