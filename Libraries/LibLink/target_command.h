#ifndef LIBLINK_TARGET_COMMAND_H_
#define LIBLINK_TARGET_COMMAND_H_

#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibStatement/prepared_shape.h"

namespace kingcupmill {

// What a proxy asks a target to do.
enum class TargetCommandKind {
  // Runs a caller's statement, unchanged.
  kStatement,
  // Runs a caller's prepared statement under the name that it has at the
  // target.
  kExecute,
  kBegin,
  kBeginRead,
  kRollback,
  // Clears session values and prepared statements; needs no slot.
  kReset,
  kSet,
  kPrepare,
  kStatus,
  // Changes nothing and needs no slot; the answer contains the end of the log.
  kProbe,
  // Demotes a primary of a lower term to a replica.
  kStepDown,
};

// One command to a target.
struct TargetCommand {
  TargetCommandKind kind = TargetCommandKind::kReset;
  // The caller's id for the statement; empty for the proxy's own commands.
  std::string request_id;
  // The target rejects a read or the start of a transaction if its log has not
  // reached this position.
  std::optional<LogPoint> required_position;
  // The caller's statement (kStatement).
  std::string text;
  // The name of the session value (kSet) or of the prepared statement.
  std::string name;
  // The value (kSet) or the arguments (kExecute).
  std::string value;
  PreparedShape shape;
  // The term of the next primary (kStepDown).
  Term term;
};

}  // namespace kingcupmill

#endif  // LIBLINK_TARGET_COMMAND_H_
