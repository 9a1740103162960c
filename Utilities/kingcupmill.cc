// The command-line tool for operators and callers.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "LibOperator/operator_commands.h"
#include "LibWire/http_server.h"

namespace {

using kingcupmill::CommandExit;
using kingcupmill::CommandOutput;
using kingcupmill::Error;
using kingcupmill::Milliseconds;
using kingcupmill::OperatorCommands;
using kingcupmill::OutputFormat;
using kingcupmill::Result;
using kingcupmill::SqlCommand;

constexpr size_t kHttpThreads = 2;

// The values of all command-line options.
struct Arguments {
  std::string platform = "127.0.0.1:7000";
  std::string proxy = "127.0.0.1:8001";
  OutputFormat format = OutputFormat::kTable;
  int64_t timeout_ms = 10'000;
  std::string folder;
  std::optional<uint64_t> base;
  std::string change_id;
  std::string author = "operator";
  size_t limit = 20;
  std::optional<int64_t> maximum_age_ms;
  std::optional<int64_t> position;
  SqlCommand sql;
};

using Command = std::function<Result<CommandOutput>(OperatorCommands&)>;

void AddArrangementCommands(CLI::App& app,
                            Arguments& arguments,
                            Command& selected_command) {
  const auto add_folder = [&](CLI::App* command) {
    command->add_option("folder", arguments.folder, "Folder of declarations")
        ->required();
  };
  CLI::App* validate =
      app.add_subcommand("validate", "Check declarations offline");
  add_folder(validate);
  validate->callback([&] {
    selected_command = [&](auto& commands) {
      return commands.Validate(arguments.folder);
    };
  });
  CLI::App* diff = app.add_subcommand(
      "diff", "Compare declarations with the revision in force");
  add_folder(diff);
  diff->callback([&] {
    selected_command = [&](auto& commands) {
      return commands.Diff(arguments.folder);
    };
  });
  CLI::App* apply =
      app.add_subcommand("apply", "Check declarations and publish them");
  add_folder(apply);
  apply->add_option("--base", arguments.base,
                    "Revision on which the change is based");
  apply->add_option("--change-id", arguments.change_id,
                    "Identifies the change, to retry it after a lost response");
  apply
      ->add_option("--author", arguments.author,
                   "Author to show in the history")
      ->capture_default_str();
  apply->callback([&] {
    selected_command = [&](auto& commands) {
      return commands.Apply(arguments.folder, arguments.base,
                            arguments.change_id, arguments.author);
    };
  });
  app.add_subcommand("get", "Print the declarations in force")->callback([&] {
    selected_command = [](auto& commands) { return commands.Get(); };
  });
  CLI::App* history = app.add_subcommand("history", "List published changes");
  history
      ->add_option("--limit", arguments.limit,
                   "Maximum number of changes to print")
      ->capture_default_str();
  history->callback([&] {
    selected_command = [&](auto& commands) {
      return commands.History(arguments.limit);
    };
  });
}

void AddProxyCommands(CLI::App& app,
                      Arguments& arguments,
                      Command& selected_command) {
  const auto add_proxy = [&](CLI::App* command) {
    command->add_option("--proxy", arguments.proxy, "HTTP address of a proxy")
        ->capture_default_str();
  };
  app.add_subcommand("status", "Show the revision that each proxy has in force")
      ->callback([&] {
        selected_command = [](auto& commands) { return commands.Status(); };
      });
  CLI::App* explain = app.add_subcommand(
      "explain", "Show where a read would be routed, and why");
  add_proxy(explain);
  explain->add_option("--group", arguments.sql.group)->required();
  explain->add_option("--max-age-ms", arguments.maximum_age_ms);
  explain->add_option("--position", arguments.position,
                      "Last position that the session has seen");
  explain->callback([&] {
    selected_command = [&](auto& commands) {
      return commands.Explain(arguments.proxy, arguments.sql.group,
                              arguments.maximum_age_ms, arguments.position);
    };
  });
  CLI::App* drain = app.add_subcommand("drain", "Make a proxy drain and exit");
  add_proxy(drain);
  drain->callback([&] {
    selected_command = [&](auto& commands) {
      return commands.Drain(arguments.proxy);
    };
  });
  CLI::App* sql = app.add_subcommand("sql", "Run one statement");
  add_proxy(sql);
  sql->add_option("--application", arguments.sql.application)->required();
  sql->add_option("--group", arguments.sql.group)->required();
  sql->add_option("--parameters", arguments.sql.parameters, "JSON array")
      ->capture_default_str();
  sql->add_option("--max-age-ms", arguments.sql.maximum_age_ms);
  sql->add_option("--session", arguments.sql.session, "Session token");
  sql->add_option("--key", arguments.sql.key, "Idempotency key");
  sql->add_option("statement", arguments.sql.text)->required();
  sql->callback([&] {
    selected_command = [&](auto& commands) {
      return commands.Sql(arguments.proxy, arguments.sql);
    };
  });
}

int Fail(const char* message) {
  std::fprintf(stderr, "kingcupmill: %s\n", message);
  return static_cast<int>(CommandExit::kFailed);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Command-line tool of kingcupmill for operators and callers");
  app.set_version_flag("--version", KINGCUPMILL_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  Arguments arguments;
  Command selected_command;
  app.add_option("--platform", arguments.platform, "Address of the platform")
      ->capture_default_str();
  app.add_option("--timeout-ms", arguments.timeout_ms)
      ->check(CLI::Range(1, 600'000))
      ->capture_default_str();
  const std::map<std::string, OutputFormat> formats = {
      {"table", OutputFormat::kTable}, {"json", OutputFormat::kJson}};
  app.add_option("--output", arguments.format, "table or json")
      ->transform(CLI::CheckedTransformer(formats));
  AddArrangementCommands(app, arguments, selected_command);
  AddProxyCommands(app, arguments, selected_command);
  CLI11_PARSE(app, argc, argv);

  kingcupmill::HttpServer::InitializeThreads(kHttpThreads);
  return kingcupmill::ValueOrHandled(
      [&]() -> Result<int> {
        OperatorCommands commands(arguments.platform,
                                  Milliseconds(arguments.timeout_ms),
                                  arguments.format);
        KINGCUPMILL_TRY(output, selected_command(commands));
        std::fputs(output.text.c_str(), stdout);
        return output.exit_code;
      },
      [](const Error& error) { return Fail(error.message.c_str()); });
}
