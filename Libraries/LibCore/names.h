#ifndef LIBCORE_NAMES_H_
#define LIBCORE_NAMES_H_

#include <compare>
#include <cstdint>
#include <string>

namespace kingcupmill {

// A name of an object. Names of different kinds do not convert to each other.
template <typename Tag>
struct Name {
  std::string value;
  friend auto operator<=>(const Name&, const Name&) = default;
};

// An unsigned number. Numbers of different kinds do not convert to each other.
template <typename Tag>
struct Counter {
  uint64_t value = 0;
  friend auto operator<=>(const Counter&, const Counter&) = default;
};

using PlaceName = Name<struct PlaceNameTag>;
using GroupName = Name<struct GroupNameTag>;
using TargetName = Name<struct TargetNameTag>;
using ApplicationName = Name<struct ApplicationNameTag>;
using VmName = Name<struct VmNameTag>;
// A customer whose callers share its limits and its connections to targets.
using CustomerName = Name<struct CustomerNameTag>;
// The idempotency key of one request of a caller.
using RequestId = Name<struct RequestIdTag>;
// Identifies one interactive transaction.
using TransactionId = Name<struct TransactionIdTag>;

// The period in which one primary leads a group; later terms are higher.
using Term = Counter<struct TermTag>;
// The index of an entry in a group's replication log; the first entry is 1.
using Position = Counter<struct PositionTag>;
// The number of a published configuration; the first one is 1.
using Revision = Counter<struct RevisionTag>;

// The term and position of one log entry, ordered by term, then position.
struct LogPoint {
  Term term;
  Position position;
  friend auto operator<=>(const LogPoint&, const LogPoint&) = default;
};

}  // namespace kingcupmill

#endif  // LIBCORE_NAMES_H_
