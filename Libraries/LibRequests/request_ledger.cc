#include "LibRequests/request_ledger.h"

#include <string>

namespace kingcupmill {

namespace {

constexpr int64_t kStateTombstone = 0;
constexpr int64_t kStateRan = 1;

int64_t ToSql(uint64_t digest) {
  return static_cast<int64_t>(digest);
}

}  // namespace

std::vector<Statement> LedgerSetup(Term term, const TargetName& primary) {
  return {
      {"CREATE TABLE IF NOT EXISTS kingcupmill_requests (id TEXT PRIMARY KEY, "
       "digest INTEGER NOT NULL, state INTEGER NOT NULL, rows_affected INTEGER "
       "NOT NULL) WITHOUT ROWID",
       {}},
      {"CREATE TABLE IF NOT EXISTS kingcupmill_terms (term INTEGER PRIMARY "
       "KEY, target TEXT NOT NULL)",
       {}},
      {"INSERT OR REPLACE INTO kingcupmill_terms VALUES (?, ?)",
       {static_cast<int64_t>(term.value), primary.value}},
  };
}

Statement LedgerRecord(const RequestId& id, uint64_t digest) {
  return {"INSERT INTO kingcupmill_requests VALUES (?, ?, ?, 0)",
          {id.value, ToSql(digest), kStateRan}};
}

std::vector<Statement> WriteWithLedgerRecord(const RequestId& id,
                                             const Statement& statement) {
  return {
      LedgerRecord(id, DigestOf(statement)),
      statement,
      {"UPDATE kingcupmill_requests SET rows_affected = changes() WHERE id = ?",
       {id.value}},
  };
}

std::vector<Statement> InsertTombstoneAndRead(const RequestId& id) {
  return {
      {"INSERT OR IGNORE INTO kingcupmill_requests VALUES (?, 0, ?, 0)",
       {id.value, kStateTombstone}},
      {"SELECT digest, state, rows_affected FROM kingcupmill_requests WHERE "
       "id = ?",
       {id.value}},
  };
}

std::optional<LedgerEntry> ParseLedgerEntry(const ResultSet& result) {
  if (result.rows.size() != 1 || result.rows.front().size() != 3)
    return std::nullopt;
  const auto& row = result.rows.front();
  const auto* digest = std::get_if<int64_t>(row.data());
  const auto* state = std::get_if<int64_t>(&row[1]);
  const auto* rows_affected = std::get_if<int64_t>(&row[2]);
  if (!digest || !state || !rows_affected)
    return std::nullopt;
  LedgerEntry entry;
  entry.digest = static_cast<uint64_t>(*digest);
  entry.state = *state == kStateRan ? LedgerEntry::State::kRan
                                    : LedgerEntry::State::kTombstone;
  entry.rows_affected = *rows_affected;
  return entry;
}

}  // namespace kingcupmill
