#include "LibLab/final_state.h"

#include <utility>
#include <variant>

#include "LibStandins/sqlite_database.h"

namespace kingcupmill {

namespace {

int64_t IntegerAt(const std::vector<SqlValue>& row, size_t column) {
  const auto* value = std::get_if<int64_t>(&row.at(column));
  return value ? *value : 0;
}

ResultSet RunQuery(SqliteDatabase& database, const char* text) {
  auto outcome = database.Execute(Statement{text, {}}, Access::kRead);
  auto* result = std::get_if<ResultSet>(&outcome);
  return result ? std::move(*result) : ResultSet{};
}

}  // namespace

FinalState ReadFinalState(SqliteDatabase& database, TargetName primary) {
  FinalState state;
  state.primary = std::move(primary);
  const ResultSet orders =
      RunQuery(database,
               "SELECT session, sequence, count(*) FROM orders GROUP BY "
               "session, sequence");
  for (const auto& row : orders.rows)
    state.orders[{IntegerAt(row, 0), IntegerAt(row, 1)}] = IntegerAt(row, 2);
  const ResultSet transfers =
      RunQuery(database,
               "SELECT session, sequence, count(*), sum(amount) FROM "
               "transfers GROUP BY session, sequence");
  for (const auto& row : transfers.rows) {
    state.transfers[{IntegerAt(row, 0), IntegerAt(row, 1)}] = {
        IntegerAt(row, 2), IntegerAt(row, 3)};
  }
  return state;
}

}  // namespace kingcupmill
