// Runs the stand-ins, simple servers that replace the platform and the targets
// in tests, in a separate process.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

#include "LibArrangement/declaration_folder.h"
#include "LibStandins/standin_host.h"
#include "LibWire/http_server.h"

namespace {

using kingcupmill::Arrangement;
using kingcupmill::Error;
using kingcupmill::Milliseconds;
using kingcupmill::Result;
using kingcupmill::SettingError;
using kingcupmill::StandinHost;

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitDeclarations = 2;

constexpr size_t kHttpThreads = 4;
constexpr std::chrono::milliseconds kSignalCheckInterval{50};

volatile std::sig_atomic_t termination_requested = 0;

void DidReceiveTermination(int /*signal*/) {
  termination_requested = 1;
}

Result<int> Serve(const std::string& folder, StandinHost::Options options) {
  KINGCUPMILL_TRY(files, kingcupmill::ReadDeclarationFolder(folder));
  std::vector<SettingError> errors;
  const Arrangement arrangement =
      kingcupmill::ArrangementParser::Parse(files, errors);
  if (!errors.empty()) {
    std::fputs(kingcupmill::FormatErrors(errors).c_str(), stderr);
    return kExitDeclarations;
  }
  KINGCUPMILL_TRY(host, StandinHost::Create(arrangement, options));
  spdlog::info("serving the platform on {} and {} targets",
               options.platform_address, arrangement.targets.size());
  while (!termination_requested)
    std::this_thread::sleep_for(kSignalCheckInterval);
  return kExitOk;
}

int Fail(const char* message) {
  std::fprintf(stderr, "kingcupmill-standins: %s\n", message);
  return kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-ins for the platform and the targets");
  app.set_version_flag("--version", KINGCUPMILL_VERSION);
  std::string folder = "Declarations/restock";
  StandinHost::Options options;
  options.platform_address = "127.0.0.1:7000";
  int64_t lag_ms = 0;
  app.add_option("--declarations", folder,
                 "Folder of the declarations that name the targets")
      ->capture_default_str();
  app.add_option("--platform", options.platform_address,
                 "Address on which the platform listens")
      ->capture_default_str();
  app.add_option("--lag-ms", lag_ms, "Replication lag of the replicas, in ms")
      ->check(CLI::Range(0, 60'000))
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  options.replica_lag = Milliseconds(lag_ms);

  std::signal(SIGTERM, DidReceiveTermination);
  std::signal(SIGINT, DidReceiveTermination);
  kingcupmill::HttpServer::InitializeThreads(kHttpThreads);
  return kingcupmill::ValueOrHandled(
      [&]() -> Result<int> { return Serve(folder, options); },
      [](const Error& error) { return Fail(error.message.c_str()); });
}
