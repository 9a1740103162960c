#ifndef LIBSTATEMENT_PREPARED_SHAPE_H_
#define LIBSTATEMENT_PREPARED_SHAPE_H_

#include <compare>
#include <string>

namespace kingcupmill {

// Whether a statement changes data.
enum class StatementAccess { kRead, kWrite };

// What a prepared statement runs, as chosen by the caller. Equal shapes share
// one name at a target.
struct PreparedShape {
  StatementAccess access = StatementAccess::kRead;
  std::string shape;
  friend auto operator<=>(const PreparedShape&, const PreparedShape&) = default;
};

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_PREPARED_SHAPE_H_
