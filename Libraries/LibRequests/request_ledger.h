#ifndef LIBREQUESTS_REQUEST_LEDGER_H_
#define LIBREQUESTS_REQUEST_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/names.h"
#include "LibSql/result_set.h"
#include "LibSql/statement.h"

namespace kingcupmill {

// The statements that keep the request ledger, a table in each group's own
// database. The outcome of a request is written in the transaction of its
// effect, so that it replicates and fails over with it.

// The prefix of the tables that callers must not touch.
inline constexpr std::string_view kReservedTablePrefix = "kingcupmill_";

// What the ledger says about one request.
struct LedgerEntry {
  enum class State { kRan, kTombstone };
  State state = State::kTombstone;
  uint64_t digest = 0;
  int64_t rows_affected = 0;
};

// Returns the first transaction of a new primary; it makes the ledger.
std::vector<Statement> LedgerMarker(Term term, const TargetName& primary);

// Returns `statement` between the statements that record it. The first one
// fails with a constraint error when the request id is already in the ledger.
std::vector<Statement> LedgeredWrite(const RequestId& id,
                                     const Statement& statement);

// Returns the statement that records a transaction; part of its commit.
Statement LedgerRecord(const RequestId& id, uint64_t digest);

// Returns the transaction that writes a tombstone unless the request is in the
// ledger, and then reads what is there.
std::vector<Statement> TombstoneAndRead(const RequestId& id);

// Reads the result of the last statement of TombstoneAndRead().
std::optional<LedgerEntry> ParseLedgerEntry(const ResultSet& result);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_REQUEST_LEDGER_H_
