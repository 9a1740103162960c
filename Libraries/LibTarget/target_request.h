#ifndef LIBTARGET_TARGET_REQUEST_H_
#define LIBTARGET_TARGET_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibSql/statement.h"

namespace kingcupmill {

// The operations of a target.
enum class TargetOperation {
  kHello,     // Opens the connection; answered when it is ready for work.
  kStatus,    // Reports a TargetStatus.
  kRead,      // Runs one read-only statement on confirmed data.
  kWrite,     // Runs `statements` as one transaction and commits it.
  kBegin,     // Opens a transaction on this connection.
  kExecute,   // Runs one statement in the open transaction.
  kCommit,    // Runs `statements` in the open transaction and commits it.
  kRollback,  // Ends the open transaction without effect.
  kSeal,      // Grants `term` to `proposer` and refuses lower terms from then.
  kLead,      // Makes this target the primary of the term sealed by `proposer`.
  kHold,      // Makes the primary refuse new writes for `wait`.
};

// When the primary answers a commit.
enum class Acknowledge { kPrimary, kMajority };

// One request to a target. A connection carries one request at a time, except
// that kStatus may be sent at any time.
struct TargetRequest {
  uint64_t number = 0;
  TargetOperation operation = TargetOperation::kStatus;
  // The term the sender believes in; checked by kWrite, kBegin, kSeal, kLead.
  Term term;
  std::vector<Statement> statements;
  Acknowledge acknowledge = Acknowledge::kMajority;
  // kRead: the position that the answer must have seen.
  Position minimum_position;
  // kRead: how long to wait for `minimum_position`. kHold: how long to hold.
  Duration wait{0};
  // kSeal, kLead: the proposer's id. kHello: the client's VM.
  std::string proposer;
};

}  // namespace kingcupmill

#endif  // LIBTARGET_TARGET_REQUEST_H_
