#ifndef LIBLAB_FINAL_STATE_H_
#define LIBLAB_FINAL_STATE_H_

#include <cstdint>
#include <map>
#include <utility>

#include "LibCore/names.h"

namespace kingcupmill {

class SqliteDatabase;

// The contents of a group's database at the end of a run.
struct FinalState {
  // The number of rows for each (session, sequence).
  std::map<std::pair<int64_t, int64_t>, int64_t> orders;
  // The rows of a transfer, which has two halves that sum up to 0.
  struct Transfer {
    int64_t halves = 0;
    int64_t sum = 0;
    friend bool operator==(const Transfer&, const Transfer&) = default;
  };
  // The transfer for each (session, sequence).
  std::map<std::pair<int64_t, int64_t>, Transfer> transfers;
  // The primary at the end.
  TargetName primary;
};

// The statements that create the tables of the lab's workload.
inline constexpr const char* kWorkloadTables[] = {
    "CREATE TABLE IF NOT EXISTS orders (session INTEGER, sequence INTEGER, at "
    "INTEGER)",
    "CREATE INDEX IF NOT EXISTS orders_by_session ON orders (session, "
    "sequence)",
    "CREATE TABLE IF NOT EXISTS transfers (session INTEGER, sequence INTEGER, "
    "amount INTEGER)",
    "CREATE TABLE IF NOT EXISTS clock (id INTEGER PRIMARY KEY, at INTEGER)"};

// Reads the workload's tables. A table that cannot be read counts as empty.
FinalState ReadFinalState(SqliteDatabase& database, TargetName primary);

}  // namespace kingcupmill

#endif  // LIBLAB_FINAL_STATE_H_
