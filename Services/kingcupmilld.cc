// The proxy daemon: reads the settings and runs until a stop signal.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <random>
#include <string>
#include <thread>

#include "LibArrangement/declaration_folder.h"
#include "LibCore/json_log.h"
#include "LibProxy/proxy_daemon.h"
#include "LibToml/setting_error.h"
#include "LibWire/http_server.h"

namespace {

using kingcupmill::Error;
using kingcupmill::LogFormat;
using kingcupmill::ProxyDaemon;
using kingcupmill::ProxySettings;
using kingcupmill::Result;
using kingcupmill::SettingError;

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;

constexpr size_t kHttpThreads = 8;
constexpr std::chrono::milliseconds kSignalCheckInterval{50};

volatile std::sig_atomic_t termination_requested = 0;

void DidReceiveTermination(int /*signal*/) {
  termination_requested = 1;
}

void SetUpLog(const ProxySettings& settings) {
  spdlog::set_level(spdlog::level::from_str(settings.log_level));
  if (settings.log_format == LogFormat::kJson)
    kingcupmill::UseJsonLog();
}

// Serves until SIGTERM, SIGINT or a drain request, then drains.
Result<int> Serve(const ProxySettings& settings) {
  std::random_device seed_source;
  KINGCUPMILL_TRY(daemon, ProxyDaemon::Create(settings, seed_source()));
  spdlog::info("serving on {} as VM {} in place {}", settings.http_address,
               settings.options.vm.value, settings.options.place.value);
  while (!termination_requested && !daemon->is_drained())
    std::this_thread::sleep_for(kSignalCheckInterval);
  spdlog::info("draining");
  daemon->StartDraining();
  while (!daemon->is_drained())
    std::this_thread::sleep_for(kSignalCheckInterval);
  spdlog::info("drained");
  return kExitOk;
}

int Fail(const char* message) {
  std::fprintf(stderr, "kingcupmilld: %s\n", message);
  return kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Proxy daemon of kingcupmill");
  app.set_version_flag("--version", KINGCUPMILL_VERSION);
  std::string path;
  bool is_check_only = false;
  app.add_option("--settings", path, "Settings file (TOML)")->required();
  app.add_flag("--check", is_check_only, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  return kingcupmill::ValueOrHandled(
      [&]() -> Result<int> {
        KINGCUPMILL_TRY(text, kingcupmill::ReadWholeFile(path));
        std::vector<SettingError> errors;
        const ProxySettings settings =
            kingcupmill::ParseProxySettings(text, path, errors);
        if (!errors.empty()) {
          std::fputs(kingcupmill::FormatErrors(errors).c_str(), stderr);
          return kExitSettings;
        }
        if (is_check_only)
          return kExitOk;
        SetUpLog(settings);
        std::signal(SIGTERM, DidReceiveTermination);
        std::signal(SIGINT, DidReceiveTermination);
        kingcupmill::HttpServer::InitializeThreads(kHttpThreads);
        return Serve(settings);
      },
      [](const Error& error) { return Fail(error.message.c_str()); });
}
