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

// The format of a command's output.
enum class OutputFormat { kTable, kJson };

// The output of a command and the exit code of the process.
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

// One SQL statement and the headers of its request, for the `sql` command.
struct SqlCommand {
  std::string application;
  std::string group;
  std::string text;
  // The bind parameters as a JSON array.
  std::string parameters = "[]";
  std::optional<int64_t> maximum_age_ms;
  // The session token of an earlier response; not sent when empty.
  std::string session;
  // The idempotency key; not sent when empty.
  std::string key;
};

// Implements the commands of the command line for operators and callers.
// Parsing arguments and printing are left to the program.
class OperatorCommands {
 public:
  OperatorCommands(std::string platform_address,
                   Duration timeout,
                   OutputFormat format);

  // Checks a folder of declarations without contacting any server.
  Result<CommandOutput> Validate(const std::string& folder);
  // Compares a folder with the current revision.
  Result<CommandOutput> Diff(const std::string& folder);
  // Checks a folder and publishes it if `base` is the current revision. Without
  // a base, uses the current revision. An empty `change_id` is replaced by a
  // random one.
  Result<CommandOutput> Apply(const std::string& folder,
                              std::optional<uint64_t> base,
                              std::string change_id,
                              const std::string& author);
  // Returns the declarations of the current revision.
  Result<CommandOutput> Get();
  // Lists the last `limit` published changes.
  Result<CommandOutput> History(size_t limit);
  // Queries the status of each entry VM that the platform lists.
  Result<CommandOutput> Status();
  // Asks a proxy how it would route a read on `group` now, and why.
  Result<CommandOutput> Explain(const std::string& proxy,
                                const std::string& group,
                                std::optional<int64_t> maximum_age_ms,
                                std::optional<int64_t> position);
  // Tells a proxy to start a graceful shutdown (drain).
  Result<CommandOutput> Drain(const std::string& proxy);
  // Runs one statement through a proxy.
  Result<CommandOutput> Sql(const std::string& proxy,
                            const SqlCommand& command);

 private:
  Result<ChangeRecord> ReadHead();
  // Returns the declarations of `head`; empty if nothing was ever published.
  Result<std::string> ReadDeclarations(const ChangeRecord& head);
  CommandOutput FormatChange(const ChangeRecord& record,
                             const char* result) const;

  HttpPlatformClient platform;
  Duration timeout;
  OutputFormat format;
};

}  // namespace kingcupmill

#endif  // LIBOPERATOR_OPERATOR_COMMANDS_H_
