// The tool for load tests, fault experiments and cost measurements.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>
#include <string>

#include "LibEmulator/random_faults.h"
#include "LibLab/chaos_run.h"
#include "LibLab/experiment.h"
#include "LibLab/statement_cost.h"
#include "LibWire/http_server.h"

namespace {

using kingcupmill::ChaosReport;
using kingcupmill::ChaosRun;
using kingcupmill::Error;
using kingcupmill::Experiment;
using kingcupmill::ExperimentOptions;
using kingcupmill::Milliseconds;
using kingcupmill::PrimaryFault;
using kingcupmill::RandomFaultOptions;
using kingcupmill::Safeguard;
using kingcupmill::StatementCostOptions;

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitViolations = 3;

constexpr size_t kHttpThreads = 64;

int RunExperiment(const ExperimentOptions& options) {
  return kingcupmill::ValueOrHandled(
      [&]() -> kingcupmill::Result<int> {
        KINGCUPMILL_TRY(experiment, Experiment::Create(options));
        KINGCUPMILL_TRY(report, experiment->Run());
        const std::string table = kingcupmill::FormatReportAsTable(report);
        std::fputs(table.c_str(), stdout);
        KINGCUPMILL_RETURN_IF_ERROR(kingcupmill::WriteWholeFile(
            options.report_path, kingcupmill::FormatReportAsJson(report)));
        return report.violations.total() == 0 ? kExitOk : kExitViolations;
      },
      [](const Error& error) {
        std::fprintf(stderr, "kingcupmill-lab: %s\n", error.message.c_str());
        return kExitFailed;
      });
}

// Compares the cost of a read at a target with that of the same read through a
// proxy.
int RunCost(const StatementCostOptions& options) {
  return kingcupmill::ValueOrHandled(
      [&]() -> kingcupmill::Result<int> {
        KINGCUPMILL_TRY(cost, kingcupmill::MeasureStatementCost(options));
        std::puts(kingcupmill::FormatStatementCost(cost).c_str());
        return kExitOk;
      },
      [](const Error& error) {
        std::fprintf(stderr, "kingcupmill-lab: %s\n", error.message.c_str());
        return kExitFailed;
      });
}

// Starts the embedded system without load and measures the cost of its control
// traffic.
int RunCapacity(const ExperimentOptions& options) {
  return kingcupmill::ValueOrHandled(
      [&]() -> kingcupmill::Result<int> {
        KINGCUPMILL_TRY(experiment, Experiment::Create(options));
        KINGCUPMILL_TRY(cost, experiment->MeasureControl());
        std::puts(kingcupmill::FormatControlCost(cost).c_str());
        return kExitOk;
      },
      [](const Error& error) {
        std::fprintf(stderr, "kingcupmill-lab: %s\n", error.message.c_str());
        return kExitFailed;
      });
}

const std::map<std::string, Safeguard> kSafeguards = {
    {"majority", Safeguard::kMajorityAcknowledgement},
    {"seal", Safeguard::kSeal},
    {"ledger", Safeguard::kLedger},
    {"tombstone", Safeguard::kTombstone},
    {"token", Safeguard::kTokenWait},
    {"age", Safeguard::kStalenessCheck},
    {"connection", Safeguard::kConnectionCheck},
    {"revision", Safeguard::kRevisionCheck}};

// Prints one line of totals, followed by the details of violations.
void PrintChaosReport(const ChaosReport& report) {
  const auto& violations = report.violations;
  std::printf(
      "seed %llu: %llu steps, %llu calls (%llu ran, %llu not run, %llu "
      "unknown), %llu promotions; lost %llu duplicated %llu mixed %llu "
      "superseded %llu read-your-writes %llu false-not-run %llu stale %llu "
      "revision %llu unrecovered %llu\n",
      static_cast<unsigned long long>(report.seed),
      static_cast<unsigned long long>(report.steps),
      static_cast<unsigned long long>(report.requests.sent),
      static_cast<unsigned long long>(report.requests.ran),
      static_cast<unsigned long long>(report.requests.not_run),
      static_cast<unsigned long long>(report.requests.unknown),
      static_cast<unsigned long long>(report.promotions),
      static_cast<unsigned long long>(violations.lost),
      static_cast<unsigned long long>(violations.duplicated),
      static_cast<unsigned long long>(violations.mixed),
      static_cast<unsigned long long>(violations.superseded_ack),
      static_cast<unsigned long long>(violations.read_your_writes),
      static_cast<unsigned long long>(violations.false_not_run),
      static_cast<unsigned long long>(violations.stale_beyond_age),
      static_cast<unsigned long long>(report.revision_violations),
      static_cast<unsigned long long>(report.unrecovered));
  for (const std::string& detail : report.details)
    std::printf("  %s\n", detail.c_str());
  std::fflush(stdout);
}

// Runs `count` seeds, starting with `first`. Returns the exit code.
int RunChaos(ChaosRun::Options options, uint64_t first, uint64_t count) {
  uint64_t failures = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    options.seed = seed;
    ChaosRun run(options);
    const ChaosReport report = run.Run();
    PrintChaosReport(report);
    failures += report.failures();
  }
  return failures == 0 ? kExitOk : kExitViolations;
}

// Runs `count` emulated days, starting with the seed of `first`. Returns the
// exit code.
int RunEmulation(const RandomFaultOptions& first, uint64_t count) {
  uint64_t failures = 0;
  uint64_t statements = 0;
  uint64_t promotions = 0;
  for (uint64_t day = 0; day < count; ++day) {
    RandomFaultOptions options = first;
    options.seed += day;
    const uint64_t seed = options.seed;
    const kingcupmill::RandomFaultReport report =
        kingcupmill::RunRandomFaults(options);
    statements += report.statements;
    promotions += report.promotions;
    for (const std::string& violation : report.violations)
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                  violation.c_str());
    if (report.writes_after_healing == 0)
      std::printf("seed %llu: no write succeeds after healing\n",
                  static_cast<unsigned long long>(seed));
    if (report.outdated_nodes > 0)
      std::printf("seed %llu: %llu proxies use an older configuration\n",
                  static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(report.outdated_nodes));
    if (!report.violations.empty() || report.writes_after_healing == 0 ||
        report.outdated_nodes > 0)
      ++failures;
  }
  std::printf("%llu days, %llu statements, %llu promotions, %llu days failed\n",
              static_cast<unsigned long long>(count),
              static_cast<unsigned long long>(statements),
              static_cast<unsigned long long>(promotions),
              static_cast<unsigned long long>(failures));
  return failures == 0 ? kExitOk : kExitViolations;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Load and experiment tool of kingcupmill");
  app.set_version_flag("--version", KINGCUPMILL_VERSION);
  app.require_subcommand(1);
  std::string log_level = "warn";
  app.add_option("--log-level", log_level, "trace to off")
      ->capture_default_str();

  ExperimentOptions options;
  int64_t seconds = 10;
  int64_t lag_ms = 300;
  CLI::App* run = app.add_subcommand(
      "run", "Run the embedded system under load and check each response");
  run->add_option("--declarations", options.declarations,
                  "Folder of declarations")
      ->capture_default_str();
  run->add_option("--vms", options.vm_count, "Proxies")
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  run->add_option("--sessions", options.session_count, "Concurrent callers")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  run->add_option("--seconds", seconds, "Duration of the run")
      ->check(CLI::Range(1, 86'400))
      ->capture_default_str();
  run->add_option("--seed", options.seed, "Seed of the load")
      ->capture_default_str();
  run->add_option("--read-percent", options.read_percent,
                  "Percentage of requests that are reads")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  run->add_option("--lag-ms", lag_ms, "Replication lag of the replicas, in ms")
      ->check(CLI::Range(0, 60'000))
      ->capture_default_str();
  run->add_option("--port-base", options.port_base,
                  "First loopback port to use")
      ->capture_default_str();
  run->add_option("--report", options.report_path, "Path of the report file")
      ->capture_default_str();
  const std::map<std::string, PrimaryFault> faults = {
      {"none", PrimaryFault::kNone},
      {"kill", PrimaryFault::kKill},
      {"cut", PrimaryFault::kCut},
      {"pause", PrimaryFault::kPause}};
  run->add_option("--fault", options.fault,
                  "Fault of a primary halfway through the run (default kill)")
      ->transform(CLI::CheckedTransformer(faults));
  CLI::App* capacity = app.add_subcommand(
      "capacity", "Measure the cost of control traffic without load");
  capacity->add_option("--declarations", options.declarations)
      ->capture_default_str();
  capacity->add_option("--vms", options.vm_count, "Proxies")
      ->check(CLI::Range(1, 300))
      ->capture_default_str();
  capacity->add_option("--seconds", seconds, "Duration of the measurement")
      ->capture_default_str();
  capacity->add_option("--port-base", options.port_base)->capture_default_str();

  StatementCostOptions cost_options;
  cost_options.application.value = "shop-orders";
  cost_options.group.value = "restock-1";
  CLI::App* cost = app.add_subcommand(
      "cost",
      "Compare the cost of a read at a target and through a running daemon");
  cost->add_option("--proxy", cost_options.proxy)->required();
  cost->add_option("--target", cost_options.target)->required();
  cost->add_option("--daemon-process", cost_options.daemon_process)->required();
  cost->add_option("--group", cost_options.group.value)->capture_default_str();
  cost->add_option("--application", cost_options.application.value)
      ->capture_default_str();

  ChaosRun::Options chaos_options;
  uint64_t first_seed = 1;
  uint64_t seed_count = 1;
  CLI::App* chaos = app.add_subcommand(
      "chaos", "Run complete proxies on virtual time under random faults");
  chaos->add_option("--seed", first_seed, "First seed")->capture_default_str();
  chaos->add_option("--seeds", seed_count, "Number of seeds")
      ->check(CLI::Range(1, 1'000'000))
      ->capture_default_str();
  chaos->add_option("--steps", chaos_options.steps, "Number of steps per seed")
      ->capture_default_str();
  chaos->add_option("--sessions", chaos_options.session_count, "Callers")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  chaos
      ->add_option("--without", chaos_options.disabled_safeguard,
                   "Disable one safeguard, to show that it is needed")
      ->transform(CLI::CheckedTransformer(kSafeguards));
  RandomFaultOptions day;
  day.rounds = 12;
  uint64_t day_count = 1;
  CLI::App* emulate =
      app.add_subcommand("emulate",
                         "Run complete proxies with emulated targets on "
                         "virtual time under faults");
  emulate->add_option("--nodes", day.nodes, "Number of proxies")
      ->check(CLI::Range(1, 1'000))
      ->capture_default_str();
  emulate->add_option("--seed", day.seed, "First seed")->capture_default_str();
  emulate->add_option("--seeds", day_count, "Number of seeds")
      ->check(CLI::Range(1, 1'000'000))
      ->capture_default_str();
  emulate
      ->add_option("--restores", day.restores,
                   "Number of times per day that the store is restored from a "
                   "backup")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  emulate
      ->add_option("--silences", day.silences,
                   "Number of times per day that open connections fall silent")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  emulate
      ->add_option("--sync-replicas", day.synchronous_replicas,
                   "Replicas that must have a commit before it is acknowledged")
      ->check(CLI::Range(0, 2))
      ->capture_default_str();
  emulate->add_option("--rounds", day.rounds, "Number of faults per day")
      ->check(CLI::Range(0, 10'000))
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);

  spdlog::set_level(spdlog::level::from_str(log_level));
  if (*emulate)
    return RunEmulation(day, day_count);
  if (*chaos)
    return RunChaos(chaos_options, first_seed, seed_count);
  kingcupmill::HttpServer::InitializeThreads(kHttpThreads);
  options.duration = std::chrono::seconds(seconds);
  options.replica_lag = Milliseconds(lag_ms);
  if (*cost)
    return RunCost(cost_options);
  return *capacity ? RunCapacity(options) : RunExperiment(options);
}
