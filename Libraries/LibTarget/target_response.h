#ifndef LIBTARGET_TARGET_RESPONSE_H_
#define LIBTARGET_TARGET_RESPONSE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/names.h"
#include "LibSql/result_set.h"
#include "LibTarget/target_status.h"

namespace kingcupmill {

// Why a target did not carry out a request. The comment on each code states
// whether the request had an effect.
enum class TargetErrorCode {
  kNone,
  kTooManyConnections,  // No effect.
  kNotPrimary,          // No effect.
  kTermSuperseded,      // No effect.
  kWritesHeld,          // No effect.
  kBehind,              // No effect: the minimum position was not reached.
  kBusy,                // No effect: the write lock was not acquired in time.
  kNotReadOnly,         // No effect.
  kSqlError,            // No effect: the transaction was rolled back.
  kConstraint,          // No effect: a constraint failed; rolled back.
  kTransactionLost,     // No effect: the open transaction was rolled back.
  kUnconfirmed,  // Unknown: committed here; superseded before a majority.
  kMalformed,    // No effect.
};

// Returns the lower-case name of a code, for logs and messages.
const char* ToString(TargetErrorCode code);

// The answer to one TargetRequest.
struct TargetResponse {
  uint64_t number = 0;
  TargetErrorCode error = TargetErrorCode::kNone;
  std::string message;
  // The index in `statements` of the statement that failed.
  int64_t failed_statement = -1;
  // One result for each statement of the request.
  std::vector<ResultSet> results;
  // kWrite, kCommit: the committed entry. kRead: the entry that the result
  // reflects.
  LogPoint point;
  // Set for kStatus, kSeal, kLead and kHello.
  TargetStatus status;
};

}  // namespace kingcupmill

#endif  // LIBTARGET_TARGET_RESPONSE_H_
