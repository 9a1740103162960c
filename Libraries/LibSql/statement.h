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

// One SQL statement with its bind parameters, in the order of its markers.
struct Statement {
  std::string text;
  std::vector<SqlValue> parameters;
  friend bool operator==(const Statement&, const Statement&) = default;
};

// Tells whether a statement may change data.
enum class Access { kRead, kWrite };

// Guesses the access of `text` from its first keyword. Anything that is not
// clearly a query counts as a write.
Access ClassifyStatement(std::string_view text);

// Returns a 64-bit fingerprint of the statement's text and parameters, used to
// recognise a request id that is reused with another body.
uint64_t DigestOf(const Statement& statement);

}  // namespace kingcupmill

#endif  // LIBSQL_STATEMENT_H_
