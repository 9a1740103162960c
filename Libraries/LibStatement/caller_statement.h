#ifndef LIBSTATEMENT_CALLER_STATEMENT_H_
#define LIBSTATEMENT_CALLER_STATEMENT_H_

#include <string>

#include "LibStatement/prepared_shape.h"

namespace kingcupmill {

// What a caller's statement does.
enum class StatementKind {
  kBegin,
  kBeginRead,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepare,
  kExecute,
  kClose,
  kMalformed,
};

// A caller's statement, parsed.
struct CallerStatement {
  // Chosen by the caller and sent to the target with the statement.
  std::string id;
  StatementKind kind = StatementKind::kMalformed;
  // The statement as received; targets get it unchanged.
  std::string text;
  // The name of the session value (SET) or of the prepared statement.
  std::string name;
  // The value (SET) or the arguments (EXECUTE).
  std::string value;
  // The statement to prepare (PREPARE).
  PreparedShape shape;
};

}  // namespace kingcupmill

#endif  // LIBSTATEMENT_CALLER_STATEMENT_H_
