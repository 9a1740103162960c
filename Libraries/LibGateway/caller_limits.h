#ifndef LIBGATEWAY_CALLER_LIMITS_H_
#define LIBGATEWAY_CALLER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/time.h"

namespace kingcupmill {

// Decides which callers' connections are closed so that all of them together
// stay within a proxy's memory and descriptors. It is told what is held for
// each caller and closes nothing itself.
class CallerLimits {
 public:
  struct Options {
    // The bytes that may be held for all callers together.
    size_t maximum_bytes = size_t{40} << 20U;
    size_t maximum_connections = 3'225;
    // The time from the connection to the complete STARTUP line.
    Duration startup_timeout = std::chrono::seconds(5);
    // The time for an unfinished line, in addition to the time that its bytes
    // need at the minimum rate, and the time for unsent bytes to become fewer.
    Duration line_timeout = std::chrono::seconds(10);
    // In bytes per second.
    size_t minimum_line_rate = size_t{64} << 10U;
  };

  using CallerId = uint64_t;

  enum class Reason { kStartup, kLine, kUnread, kMemory, kConnections, kCount };

  // What is held for one caller at the moment.
  struct Observation {
    // Of a line that is not complete; zero while reading is paused, because
    // then the caller cannot complete it.
    size_t unfinished_line_bytes = 0;
    size_t unsent_bytes = 0;
    // Everything, including the two above.
    size_t held_bytes = 0;
    bool has_session = false;
    // Whether a statement or a transaction is open.
    bool is_busy = false;
  };

  struct Closing {
    CallerId caller;
    Reason reason;
  };

  explicit CallerLimits(Options options);

  void DidAccept(CallerId caller, TimePoint now);
  // Called for each complete line.
  void DidReceiveLine(CallerId caller, TimePoint now);
  void Observe(CallerId caller, const Observation& observation, TimePoint now);
  void Remove(CallerId caller);

  // Whether the budget has room for `bytes` more.
  bool can_hold(size_t bytes) const {
    return this->total_bytes + bytes <= this->options.maximum_bytes;
  }

  // Returns the caller that holds most while the budget is exceeded; the newest
  // of several.
  std::optional<CallerId> ChooseForMemory() const;

  // Returns whom to close while there are too many connections.
  std::optional<CallerId> ChooseForConnections() const;
  // Returns whom to close to get one descriptor back. If more than an eighth of
  // the connections have no session, it is the one that has waited longest, so
  // that a new caller has time for its first line while others only connect.
  // Otherwise it is the oldest session that has not sent a statement, else the
  // session that has been idle longest, else the connection that has waited
  // longest. A caller with an open statement or transaction is not chosen.
  std::optional<CallerId> ChooseLeastUsed() const;

  // Returns the callers whose time for STARTUP, for a line or for reading their
  // answers is over.
  std::vector<Closing> FindExpired(TimePoint now) const;

  size_t held_bytes() const { return this->total_bytes; }
  size_t connection_count() const { return this->record_by_caller.size(); }

 private:
  struct Record {
    Observation observation;
    TimePoint connected_at{};
    TimePoint last_line_at{};
    // When the unfinished line began.
    TimePoint line_started_at{};
    // When the unsent bytes last became fewer.
    TimePoint sent_at{};
    uint64_t line_count = 0;
  };

  // Lower ranks are closed first.
  static int RankOf(const Record& record, bool are_many_waiting);

  Options options;
  // In the order of arrival, because identifiers increase.
  std::map<CallerId, Record> record_by_caller;
  size_t total_bytes = 0;
};

std::string_view ToString(CallerLimits::Reason reason);

}  // namespace kingcupmill

#endif  // LIBGATEWAY_CALLER_LIMITS_H_
