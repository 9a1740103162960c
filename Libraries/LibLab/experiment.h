#ifndef LIBLAB_EXPERIMENT_H_
#define LIBLAB_EXPERIMENT_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibCore/error.h"
#include "LibLab/call_record.h"
#include "LibLab/control_cost.h"
#include "LibLab/experiment_options.h"
#include "LibLab/experiment_report.h"
#include "LibLab/history_checker.h"
#include "LibProxy/proxy_daemon.h"
#include "LibStandins/standin_host.h"

namespace kingcupmill {

class CallerSession;

// One run of the lab. Starts stand-ins and proxies in this process, applies a
// closed-loop load over HTTP, injects a fault half-way and compares all answers
// to callers with the final databases.
class Experiment {
 public:
  static Result<std::unique_ptr<Experiment>> Create(ExperimentOptions options);
  ~Experiment();
  Experiment(const Experiment&) = delete;
  Experiment& operator=(const Experiment&) = delete;

  Result<ExperimentReport> Run();

  // Measures the resources that the proxies use without load, and the time
  // until a published change is in force on all of them.
  Result<ControlCost> MeasureControl();

 private:
  explicit Experiment(ExperimentOptions options);
  Result<void> Start();
  Result<void> StartProxies();
  Result<void> PublishArrangement();
  std::string PlatformAddress() const;
  Result<void> WaitUntilReady();
  uint64_t SumControlBytes();
  uint64_t PlatformReads();
  // Publishes a change and returns the time until the last proxy has it in
  // force.
  Result<Duration> MeasurePropagation();
  Result<void> CreateTables();
  std::vector<HttpClient*> Clients() const;
  ApplicationName FirstApplication() const;

  void RunSessions();
  void RunSession(CallerSession& session, TimePoint end);
  void RunClock(const GroupName& group, size_t number, TimePoint end);
  // Injects the fault at the first group's primary. Returns the time until the
  // next successful write, or nothing if there is no fault or no write
  // succeeds.
  std::optional<Duration> InjectPrimaryFault();
  void EndFault();
  std::map<GroupName, FinalState> ReadFinalStates();
  ExperimentReport MakeReport();

  ExperimentOptions options;
  Arrangement arrangement;
  std::unique_ptr<StandinHost> standins;
  std::vector<std::unique_ptr<ProxyDaemon>> proxies;
  std::vector<std::unique_ptr<HttpClient>> clients;
  TargetName faulty_target;

  std::mutex mutex;
  std::vector<CallRecord> history;
  std::map<GroupName, std::vector<ClockTick>> ticks;
  std::vector<Duration> gaps;
};

// Writes `text` to `path`. Fails with kUnavailable if the file cannot be
// written.
Result<void> WriteWholeFile(const std::string& path, const std::string& text);

}  // namespace kingcupmill

#endif  // LIBLAB_EXPERIMENT_H_
