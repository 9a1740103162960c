#ifndef LIBLAB_CALL_RECORD_H_
#define LIBLAB_CALL_RECORD_H_

#include <string>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibRequests/client_answer.h"

namespace kingcupmill {

// The kinds of calls that the lab makes. kClock writes the group's shared
// clock, kSessionRead reads the caller's own writes, and kBoundedRead reads the
// clock with a staleness bound.
enum class CallKind {
  kWrite,
  kClock,
  kTransaction,
  kSessionRead,
  kBoundedRead
};

// One call and its answer.
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
  // The error message, if the call failed.
  std::string message;
  // Reads: the string in the answer, and the one that the read sent and must
  // get back.
  std::string echo;
  std::string expected_echo;
  // Reads: the sequence or clock value in the answer.
  int64_t seen_sequence = 0;
  // kSessionRead: the lowest sequence that the answer may show.
  int64_t required_sequence = 0;
};

}  // namespace kingcupmill

#endif  // LIBLAB_CALL_RECORD_H_
