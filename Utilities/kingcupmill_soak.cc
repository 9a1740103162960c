// The environment of a soak test, with fault injection. Meta/soak.sh starts
// this process and the proxies, which are separate processes.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "LibCore/json_log.h"
#include "LibWire/event_loop.h"
#include "LibWire/http_server.h"
#include "testing/soak_environment.h"

namespace {

using kingcupmill::EventLoop;
using kingcupmill::HttpServer;
using kingcupmill::platform::SoakEnvironment;

// Exit codes; docs/PROOF.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitViolations = 3;

// Long polls don't occupy a thread while they wait, so that a few threads are
// enough for many proxies.
constexpr size_t kHttpThreads = 4;

int Report(const SoakEnvironment& environment, uint64_t seed) {
  const auto counts = environment.TotalCounts();
  for (const std::string& violation : environment.violations())
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                violation.c_str());
  const bool is_served = environment.writes_after_healing() > 0;
  if (!is_served)
    std::printf("seed %llu: no write succeeds after healing\n",
                static_cast<unsigned long long>(seed));
  if (environment.outdated_proxies() > 0)
    std::printf(
        "seed %llu: CONFIG: %llu times an older configuration\n",
        static_cast<unsigned long long>(seed),
        static_cast<unsigned long long>(environment.outdated_proxies()));
  std::printf(
      "seed %llu: %llu statements, %llu succeeded, %llu refused, %llu in "
      "doubt, %llu promotions, %zu violations\n",
      static_cast<unsigned long long>(seed),
      static_cast<unsigned long long>(counts.sent),
      static_cast<unsigned long long>(counts.succeeded),
      static_cast<unsigned long long>(counts.refused),
      static_cast<unsigned long long>(counts.in_doubt),
      static_cast<unsigned long long>(environment.promotions()),
      environment.violations().size());
  const bool has_passed = environment.violations().empty() && is_served &&
                          environment.outdated_proxies() == 0;
  return has_passed ? kExitOk : kExitViolations;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Environment and fault injection for a soak test of proxies");
  SoakEnvironment::Options options;
  int fault_seconds = 14;
  app.add_option("--seed", options.seed, "Seed of faults and load")
      ->capture_default_str();
  app.add_option("--proxies", options.proxies, "Number of proxies")
      ->check(CLI::Range(1, 40))
      ->capture_default_str();
  app.add_option("--callers", options.callers, "Number of callers")
      ->capture_default_str();
  app.add_option("--folder", options.folder,
                 "Folder for settings and process ids")
      ->required();
  app.add_option("--base-port", options.base_port, "First port")
      ->capture_default_str();
  app.add_option("--fault-seconds", fault_seconds,
                 "Duration of the fault injection")
      ->capture_default_str();
  app.add_option("--restores", options.restores,
                 "Number of times that the store is restored from a backup")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  app.add_option("--silences", options.silences,
                 "Number of times that open connections fall silent")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  app.add_option("--sync-replicas", options.synchronous_replicas,
                 "Replicas that must have a commit before it is acknowledged")
      ->check(CLI::Range(0, 2))
      ->capture_default_str();
  app.add_option("--customers", options.customers,
                 "Number of customers whose callers have keys")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  app.add_flag("--foreign-writer", options.has_foreign_writer,
               "Rows of any form are written into the store's tables");
  CLI11_PARSE(app, argc, argv);
  options.fault_duration = std::chrono::seconds(fault_seconds);
  kingcupmill::UseJsonLog();
  HttpServer::InitializeThreads(kHttpThreads);
  EventLoop loop;
  SoakEnvironment environment(loop, options);
  const auto start_result = environment.Start();
  if (!start_result) {
    std::fprintf(stderr, "kingcupmill-soak: %s\n",
                 start_result.error().message.c_str());
    return kExitFailed;
  }
  loop.Post([&] { environment.Run([&loop] { loop.Finish(); }); });
  loop.Run();
  const int code = Report(environment, options.seed);
  std::fflush(stdout);
  // An ordinary exit would wait for requests that faults left unanswered.
  std::_Exit(code);
}
