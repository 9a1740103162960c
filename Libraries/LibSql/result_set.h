#ifndef LIBSQL_RESULT_SET_H_
#define LIBSQL_RESULT_SET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibSql/statement.h"

namespace kingcupmill {

// The complete result of one statement.
struct ResultSet {
  std::vector<std::string> columns;
  std::vector<std::vector<SqlValue>> rows;
  // The number of rows that the statement changed.
  int64_t rows_affected = 0;
};

}  // namespace kingcupmill

#endif  // LIBSQL_RESULT_SET_H_
