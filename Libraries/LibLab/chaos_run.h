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

// What a chaos run found.
struct ChaosReport {
  uint64_t seed = 0;
  // The steps that were made; fewer than asked for when a violation ended it.
  uint64_t steps = 0;
  ExperimentReport::Requests requests;
  ExperimentReport::Violations violations;
  // A proxy whose revision went back, or that holds a text that was never
  // published under its revision.
  uint64_t revision_violations = 0;
  // Groups or proxies that did not recover after the last fault had ended.
  uint64_t unrecovered = 0;
  std::vector<std::string> details;
  std::map<std::string, uint64_t> faults;
  uint64_t promotions = 0;

  uint64_t failures() const {
    return this->violations.total() + this->revision_violations +
           this->unrecovered;
  }
};

// A long randomised run of whole proxies on virtual time: callers, faults drawn
// alone and in pairs, changes of configuration, and a check of everything that
// callers were told against the final databases. A seed replays it exactly.
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
  // A fault that is in force and how it ends.
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
  // Checks that every group accepts writes and every proxy holds the head.
  void CheckRecovery();
  void CheckHistory();
  void DidNotRecover(std::string what);
  bool RunUntilAnswered(VirtualWorld::Proxy& proxy, ClientRequest request);

  Options options;
  VirtualWorld world;
  std::vector<std::unique_ptr<ChaosSession>> sessions;
  std::vector<ActiveFault> active;
  std::map<VmName, Revision> seen_revisions;
  std::map<Revision, std::string> published;
  // What a store that answers with an old value answers with.
  PlatformRow head_before_change;
  ChaosReport report;
};

}  // namespace kingcupmill

#endif  // LIBLAB_CHAOS_RUN_H_
