#ifndef LIBSQL_STATEMENT_H_
#define LIBSQL_STATEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcupmill {

// One SQL value: NULL, integer, real or text.
using SqlValue = std::variant<std::monostate, int64_t, double, std::string>;

// One SQL statement with its bind parameters in the order of the placeholders.
struct Statement {
  std::string text;
  std::vector<SqlValue> parameters;
  friend bool operator==(const Statement&, const Statement&) = default;
};

// Whether a statement only reads data or may change it.
enum class Access { kRead, kWrite };

// Classifies `text` by its first keyword. Everything but SELECT, VALUES and
// EXPLAIN counts as a write, because it may change data.
Access ClassifyStatement(std::string_view text);

// Returns a 64-bit hash of the statement's text and parameters, used to detect
// a request id that is reused with another body.
uint64_t DigestOf(const Statement& statement);

}  // namespace kingcupmill

#endif  // LIBSQL_STATEMENT_H_
