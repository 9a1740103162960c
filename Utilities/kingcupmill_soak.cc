// Surroundings for proxies that run as processes of their own, with faults;
// Meta/soak.sh starts both.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "LibCore/json_log.h"
#include "LibWire/event_loop.h"
#include "LibWire/http_server.h"
#include "testing/soak_world.h"

namespace {

using kingcupmill::EventLoop;
using kingcupmill::HttpServer;
using kingcupmill::platform::SoakWorld;

// Exit codes; docs/PROOF.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitViolations = 3;

// Long polls of many proxies wait on no thread; answers need a few.
constexpr size_t kHttpThreads = 4;

int Report(const SoakWorld& world, uint64_t seed) {
  const auto counts = world.TotalCounts();
  for (const std::string& violation : world.violations())
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                violation.c_str());
  const bool is_served = world.writes_after_healing() > 0;
  if (!is_served)
    std::printf("seed %llu: no write succeeds after healing\n",
                static_cast<unsigned long long>(seed));
  std::printf(
      "seed %llu: %llu statements, %llu succeeded, %llu refused, %llu in "
      "doubt, %llu promotions, %zu violations\n",
      static_cast<unsigned long long>(seed),
      static_cast<unsigned long long>(counts.sent),
      static_cast<unsigned long long>(counts.succeeded),
      static_cast<unsigned long long>(counts.refused),
      static_cast<unsigned long long>(counts.in_doubt),
      static_cast<unsigned long long>(world.promotions()),
      world.violations().size());
  return world.violations().empty() && is_served ? kExitOk : kExitViolations;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Surroundings and faults for proxies under a soak");
  SoakWorld::Options options;
  int seconds = 14;
  app.add_option("--seed", options.seed, "Seed")->capture_default_str();
  app.add_option("--proxies", options.proxies, "Number of proxies")
      ->check(CLI::Range(1, 40))
      ->capture_default_str();
  app.add_option("--callers", options.callers, "Number of callers")
      ->capture_default_str();
  app.add_option("--folder", options.folder, "Folder for settings and ids")
      ->required();
  app.add_option("--base-port", options.base_port, "First port")
      ->capture_default_str();
  app.add_option("--fault-seconds", seconds, "How long faults are injected")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  options.faults_for = std::chrono::seconds(seconds);
  kingcupmill::UseJsonLog();
  HttpServer::InitializeThreads(kHttpThreads);
  EventLoop loop;
  SoakWorld world(loop, options);
  const auto started = world.Start();
  if (!started) {
    std::fprintf(stderr, "kingcupmill-soak: %s\n",
                 started.error().message.c_str());
    return kExitFailed;
  }
  loop.Post([&] { world.Run([&loop] { loop.Finish(); }); });
  loop.Run();
  const int code = Report(world, options.seed);
  std::fflush(stdout);
  // Requests that faults left without an answer would be waited for.
  std::_Exit(code);
}
