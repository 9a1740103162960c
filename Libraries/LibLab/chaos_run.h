#ifndef LIBLAB_CHAOS_RUN_H_
#define LIBLAB_CHAOS_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibLab/chaos_session.h"
#include "LibLab/experiment_report.h"
#include "LibLab/virtual_world.h"

namespace kingcupmill {

// The result of a chaos run.
struct ChaosReport {
  uint64_t seed = 0;
  // The number of steps executed.
  uint64_t steps = 0;
  ExperimentReport::Requests requests;
  ExperimentReport::Violations violations;
  // How often a proxy's revision decreased, or two configurations were in force
  // under the same revision.
  uint64_t revision_violations = 0;
  // Groups or proxies that did not recover after the last fault had ended.
  uint64_t unrecovered = 0;
  std::vector<std::string> details;
  // How often each fault was injected.
  std::map<std::string, uint64_t> faults;
  uint64_t promotions = 0;

  uint64_t failures() const {
    return this->violations.total() + this->revision_violations +
           this->unrecovered;
  }
};

// Runs whole proxies on virtual time with random calls, changes of
// configuration and up to two faults at a time. Afterwards it compares all
// answers to callers with the final databases. A run is reproducible from its
// seed.
class ChaosRun {
 public:
  struct Options {
    uint64_t seed = 1;
    uint64_t steps = 2000;
    std::optional<Safeguard> disabled_safeguard;
    size_t session_count = 8;
  };

  explicit ChaosRun(Options options);
  ~ChaosRun();

  ChaosReport Run();

 private:
  // An injected fault and the function that ends it.
  struct ActiveFault {
    std::string name;
    TimePoint ends_at;
    std::function<void()> end;
  };

  void CreateTables();
  void Step();
  void StartFault();
  void EndFaults(TimePoint now);
  void EndAllFaults();
  ActiveFault MakeFault(uint64_t choice);
  ActiveFault MakeTargetFault(uint64_t choice, const TargetName& target);
  ActiveFault MakeProxyFault();
  ActiveFault MakePlatformFault(uint64_t choice);
  void ChangeConfiguration();
  void CheckRevisions();
  // Checks that every proxy has the newest revision in force and can write to
  // every group.
  void CheckRecovery();
  void CheckHistory();
  void ReportUnrecovered(std::string detail);
  bool RunUntilAnswered(VirtualWorld::Proxy& proxy, ClientRequest request);

  Options options;
  VirtualWorld world;
  std::vector<std::unique_ptr<ChaosSession>> sessions;
  std::vector<ActiveFault> active_faults;
  std::map<VmName, Revision> seen_revisions;
  std::map<Revision, std::string> published;
  // The head row that the platform returns while the fault "old head" lasts.
  PlatformRow head_before_change;
  ChaosReport report;
};

}  // namespace kingcupmill

#endif  // LIBLAB_CHAOS_RUN_H_
