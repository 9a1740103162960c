#include "LibGateway/caller_limits.h"

#include <algorithm>
#include <tuple>

namespace kingcupmill {

namespace {

// The order in which callers are closed for their connection.
constexpr int kManyWaitingRank = 0;
constexpr int kUnusedRank = 1;
constexpr int kIdleRank = 2;
constexpr int kFewWaitingRank = 3;
// Is never closed.
constexpr int kBusyRank = 4;
// This share of the connections may wait for STARTUP at the cost of idle
// sessions, so that a new caller is served when all connections are sessions.
constexpr size_t kWaitingDivisor = 8;

}  // namespace

CallerLimits::CallerLimits(Options options) : options(options) {}

void CallerLimits::DidAccept(CallerId caller, TimePoint now) {
  Record record;
  record.connected_at = now;
  record.last_line_at = now;
  this->record_by_caller.emplace(caller, record);
}

void CallerLimits::DidReceiveLine(CallerId caller, TimePoint now) {
  const auto found = this->record_by_caller.find(caller);
  if (found == this->record_by_caller.end())
    return;
  Record& record = found->second;
  record.last_line_at = now;
  record.line_started_at = now;
  ++record.line_count;
}

void CallerLimits::Observe(CallerId caller,
                           const Observation& observation,
                           TimePoint now) {
  const auto found = this->record_by_caller.find(caller);
  if (found == this->record_by_caller.end())
    return;
  Record& record = found->second;
  const Observation& previous = record.observation;
  if (previous.unfinished_line_bytes == 0)
    record.line_started_at = now;
  if (previous.unsent_bytes == 0 ||
      observation.unsent_bytes < previous.unsent_bytes)
    record.sent_at = now;
  this->total_bytes += observation.held_bytes;
  this->total_bytes -= previous.held_bytes;
  record.observation = observation;
}

void CallerLimits::Remove(CallerId caller) {
  const auto found = this->record_by_caller.find(caller);
  if (found == this->record_by_caller.end())
    return;
  this->total_bytes -= found->second.observation.held_bytes;
  this->record_by_caller.erase(found);
}

std::optional<CallerLimits::CallerId> CallerLimits::ChooseForMemory() const {
  if (this->total_bytes <= this->options.maximum_bytes)
    return std::nullopt;
  std::optional<CallerId> chosen;
  size_t most = 0;
  for (const auto& [caller, record] : this->record_by_caller) {
    if (record.observation.held_bytes < most)
      continue;
    most = record.observation.held_bytes;
    chosen = caller;
  }
  return chosen;
}

std::optional<CallerLimits::CallerId> CallerLimits::ChooseForConnections()
    const {
  if (this->record_by_caller.size() <= this->options.maximum_connections)
    return std::nullopt;
  const auto chosen = this->ChooseLeastUsed();
  // If every caller is busy, the newest one is refused.
  return chosen ? chosen : this->record_by_caller.rbegin()->first;
}

int CallerLimits::RankOf(const Record& record, bool are_many_waiting) {
  if (!record.observation.has_session)
    return are_many_waiting ? kManyWaitingRank : kFewWaitingRank;
  if (record.observation.is_busy)
    return kBusyRank;
  // The first line is STARTUP.
  return record.line_count <= 1 ? kUnusedRank : kIdleRank;
}

std::optional<CallerLimits::CallerId> CallerLimits::ChooseLeastUsed() const {
  const auto waiting = std::count_if(
      this->record_by_caller.begin(), this->record_by_caller.end(),
      [](const auto& entry) { return !entry.second.observation.has_session; });
  const bool are_many_waiting =
      static_cast<size_t>(waiting) >
      this->options.maximum_connections / kWaitingDivisor;
  std::optional<CallerId> chosen;
  std::tuple<int, TimePoint> lowest(kBusyRank, TimePoint{});
  for (const auto& [caller, record] : this->record_by_caller) {
    // Before its first line, the time of a caller's last line is that of its
    // connection.
    const std::tuple<int, TimePoint> key(RankOf(record, are_many_waiting),
                                         record.last_line_at);
    if (key >= lowest)
      continue;
    lowest = key;
    chosen = caller;
  }
  return chosen;
}

std::vector<CallerLimits::Closing> CallerLimits::FindExpired(
    TimePoint now) const {
  std::vector<Closing> closings;
  for (const auto& [caller, record] : this->record_by_caller) {
    const Observation& observation = record.observation;
    const Duration line_time =
        this->options.line_timeout +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(observation.unfinished_line_bytes) /
            static_cast<double>(this->options.minimum_line_rate)));
    if (!observation.has_session &&
        now - record.connected_at > this->options.startup_timeout)
      closings.push_back({caller, Reason::kStartup});
    else if (observation.unfinished_line_bytes > 0 &&
             now - record.line_started_at > line_time)
      closings.push_back({caller, Reason::kLine});
    else if (observation.unsent_bytes > 0 &&
             now - record.sent_at > this->options.line_timeout)
      closings.push_back({caller, Reason::kUnread});
  }
  return closings;
}

std::string_view ToString(CallerLimits::Reason reason) {
  switch (reason) {
    case CallerLimits::Reason::kStartup:
      return "startup";
    case CallerLimits::Reason::kLine:
      return "line";
    case CallerLimits::Reason::kUnread:
      return "unread";
    case CallerLimits::Reason::kMemory:
      return "memory";
    case CallerLimits::Reason::kConnections:
      return "connections";
    case CallerLimits::Reason::kCount:
      break;
  }
  return "";
}

}  // namespace kingcupmill
