#ifndef LIBLINK_TARGET_COMMAND_H_
#define LIBLINK_TARGET_COMMAND_H_

#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibStatement/prepared_shape.h"

namespace kingcupmill {

// What a proxy asks of a target.
enum class TargetCommandKind {
  // A caller's statement, unchanged.
  kStatement,
  // A caller's prepared statement under its name at the target.
  kExecute,
  kBegin,
  kBeginRead,
  kRollback,
  // Clears values and prepared statements; needs no slot.
  kReset,
  kSet,
  kPrepare,
  kStatus,
  // Changes nothing and needs no slot; its answer tells the end of the log.
  kProbe,
  // Makes a primary of a lower term a replica.
  kStepDown,
};

// One command to a target.
struct TargetCommand {
  TargetCommandKind kind = TargetCommandKind::kReset;
  // The caller's id; empty for the proxy's own commands.
  std::string request_id;
  // The target refuses a read or the start of a transaction whose log does not
  // hold this position.
  std::optional<LogPoint> required_position;
  // The caller's statement (kStatement).
  std::string text;
  // The session value (kSet) or the prepared statement.
  std::string name;
  // The value (kSet) or the arguments (kExecute).
  std::string value;
  PreparedShape shape;
  // The term to come (kStepDown).
  Term term;
};

}  // namespace kingcupmill

#endif  // LIBLINK_TARGET_COMMAND_H_
