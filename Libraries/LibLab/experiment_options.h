#ifndef LIBLAB_EXPERIMENT_OPTIONS_H_
#define LIBLAB_EXPERIMENT_OPTIONS_H_

#include <cstdint>
#include <string>

#include "LibCore/time.h"

namespace kingcupmill {

// The fault that is injected at a primary half-way through a run.
enum class PrimaryFault { kNone, kKill, kCut, kPause };

// The settings of one run of the lab.
struct ExperimentOptions {
  // The path of the folder with the declarations. Its last part is the name of
  // the workload.
  std::string declarations = "Declarations/restock";
  size_t vm_count = 7;
  size_t session_count = 120;
  Duration duration = std::chrono::seconds(10);
  uint64_t seed = 1;
  // The percentage of reads among the requests, and of reads with a staleness
  // bound among the reads.
  uint64_t read_percent = 80;
  uint64_t bounded_read_percent = 50;
  Duration staleness_bound = std::chrono::milliseconds(1000);
  Duration replica_lag = std::chrono::milliseconds(300);
  // The mean pause of a session between two calls.
  Duration think_time = std::chrono::milliseconds(250);
  PrimaryFault fault = PrimaryFault::kKill;
  // The first of the ports that are used on the loopback address.
  uint16_t port_base = 21000;
  std::string report_path = "build/report.json";
};

}  // namespace kingcupmill

#endif  // LIBLAB_EXPERIMENT_OPTIONS_H_
