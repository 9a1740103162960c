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
  kHello,       // Opens the connection; answered once it accepts requests.
  kStatus,      // Reports a TargetStatus.
  kRead,        // Runs one read-only statement on confirmed data.
  kWrite,       // Runs `statements` as one transaction and commits it.
  kBegin,       // Opens a transaction on this connection.
  kExecute,     // Runs one statement in the open transaction.
  kCommit,      // Runs `statements` in the open transaction and commits it.
  kRollback,    // Rolls back the open transaction.
  kSeal,        // Grants `term` to `proposer`; rejects lower terms afterwards.
  kLead,        // Makes this target the primary of the term granted by kSeal.
  kHoldWrites,  // Makes the primary reject new writes for `wait`.
};

// Which targets must have a commit before the primary answers it.
enum class Acknowledge { kPrimary, kMajority };

// One request to a target. Only one request may be outstanding on a connection,
// but kStatus may be sent at any time.
struct TargetRequest {
  uint64_t number = 0;
  TargetOperation operation = TargetOperation::kStatus;
  // kSeal, kLead: the proposed term. Otherwise the current term as the sender
  // knows it. Checked by kWrite, kBegin, kSeal, kLead and kHoldWrites.
  Term term;
  std::vector<Statement> statements;
  Acknowledge acknowledge = Acknowledge::kMajority;
  // kRead: the lowest position that the result may reflect.
  Position minimum_position;
  // kRead: how long to wait for `minimum_position`. kHoldWrites: how long to
  // reject new writes.
  Duration wait{0};
  // kSeal, kLead: the proposer's id. kHello: the name of the client's VM.
  std::string proposer;
};

}  // namespace kingcupmill

#endif  // LIBTARGET_TARGET_REQUEST_H_
