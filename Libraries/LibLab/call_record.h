#ifndef LIBLAB_CALL_RECORD_H_
#define LIBLAB_CALL_RECORD_H_

#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibRequests/client_answer.h"

namespace kingcupmill {

// The kinds of calls that the lab makes.
enum class CallKind { kWrite, kClock, kTransaction, kSessionRead, kAgedRead };

// What one caller did and was told.
struct CallRecord {
  CallKind kind = CallKind::kWrite;
  size_t session = 0;
  GroupName group;
  // kWrite, kTransaction: the number that the call wrote.
  int64_t sequence = 0;
  TimePoint started_at;
  TimePoint finished_at;
  Outcome outcome = Outcome::kUnknown;
  TargetName target;
  bool is_from_primary = false;
  // Why the call did not simply run.
  std::string message;
  // Reads: what the answer said.
  std::string echo;
  std::string expected_echo;
  int64_t seen_sequence = 0;
  // kSessionRead: the highest sequence that must be seen.
  int64_t required_sequence = 0;
};

}  // namespace kingcupmill

#endif  // LIBLAB_CALL_RECORD_H_
