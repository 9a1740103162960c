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

// SQL statements for the request ledger, a table in each group's database that
// records the outcome of each write under its request id. The record is written
// in the same transaction as the write itself, so that both are replicated and
// survive a failover together.

// The prefix of internal tables. Client statements must not use them.
inline constexpr std::string_view kReservedTablePrefix = "kingcupmill_";

// The ledger's record of a request. A tombstone marks a request that has not
// run and never will: a later attempt violates the primary key.
struct LedgerEntry {
  enum class State { kRan, kTombstone };
  State state = State::kTombstone;
  uint64_t digest = 0;
  int64_t rows_affected = 0;
};

// Returns the first transaction of a new primary. It creates the ledger's
// tables and records the primary's term.
std::vector<Statement> LedgerSetup(Term term, const TargetName& primary);

// Returns a transaction that runs `statement` and records it in the ledger. Its
// first statement fails with a constraint error when the ledger already has the
// request id.
std::vector<Statement> WriteWithLedgerRecord(const RequestId& id,
                                             const Statement& statement);

// Returns the statement that records an interactive transaction. It must run in
// that transaction, just before the commit.
Statement LedgerRecord(const RequestId& id, uint64_t digest);

// Returns a transaction that inserts a tombstone unless the ledger already has
// the request id, and then selects the request's entry.
std::vector<Statement> InsertTombstoneAndRead(const RequestId& id);

// Parses the result of the last statement of InsertTombstoneAndRead(). Returns
// nothing when it is malformed.
std::optional<LedgerEntry> ParseLedgerEntry(const ResultSet& result);

}  // namespace kingcupmill

#endif  // LIBREQUESTS_REQUEST_LEDGER_H_
