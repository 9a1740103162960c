#ifndef LIBOPERATOR_OPERATOR_COMMANDS_H_
#define LIBOPERATOR_OPERATOR_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibConfiguration/change_record.h"
#include "LibCore/error.h"
#include "LibCore/time.h"
#include "LibPlatform/http_platform_client.h"

namespace kingcupmill {

// How a command prints what it found.
enum class OutputFormat { kTable, kJson };

// What a command prints and how the process exits.
struct CommandOutput {
  std::string text;
  int exit_code = 0;
};

// The exit codes of the command line; docs/OPERATIONS.md lists them.
enum class CommandExit : int {
  kOk = 0,
  kFailed = 1,
  kInvalidDeclarations = 2,
  kConflict = 3,
  kNotRun = 4,
  kUnknown = 5,
  kDifferent = 6,
};

// A single statement of a caller, for the `sql` command.
struct SqlCommand {
  std::string application;
  std::string group;
  std::string text;
  // JSON array of the bind parameters.
  std::string parameters = "[]";
  std::optional<int64_t> maximum_age_ms;
  std::string session;
  std::string key;
};

// The commands of the operators' and callers' command line, without parsing of
// arguments and without printing.
class OperatorCommands {
 public:
  OperatorCommands(std::string platform_address,
                   Duration timeout,
                   OutputFormat format);

  // Checks a folder of declarations, offline.
  Result<CommandOutput> Validate(const std::string& folder);
  // Compares a folder with what is in force.
  Result<CommandOutput> Diff(const std::string& folder);
  // Checks and publishes a folder on top of revision `base`; without a base, on
  // top of what is in force. An empty `change_id` is replaced by a new one.
  Result<CommandOutput> Apply(const std::string& folder,
                              std::optional<uint64_t> base,
                              std::string change_id,
                              const std::string& author);
  // Prints what is in force, as declarations.
  Result<CommandOutput> Get();
  Result<CommandOutput> History(size_t limit);
  // Asks every entry VM of the platform's list what it has in force.
  Result<CommandOutput> Status();
  Result<CommandOutput> Explain(const std::string& proxy,
                                const std::string& group,
                                std::optional<int64_t> maximum_age_ms,
                                std::optional<int64_t> position);
  Result<CommandOutput> Drain(const std::string& proxy);
  Result<CommandOutput> Sql(const std::string& proxy,
                            const SqlCommand& command);

 private:
  Result<ChangeRecord> ReadHead();
  // Returns the text in force; empty when nothing is.
  Result<std::string> ReadText(const ChangeRecord& head);
  CommandOutput Describe(const ChangeRecord& record, const char* result) const;

  HttpPlatformClient platform;
  Duration timeout;
  OutputFormat format;
};

}  // namespace kingcupmill

#endif  // LIBOPERATOR_OPERATOR_COMMANDS_H_
