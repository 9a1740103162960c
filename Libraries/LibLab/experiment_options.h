#ifndef LIBLAB_EXPERIMENT_OPTIONS_H_
#define LIBLAB_EXPERIMENT_OPTIONS_H_

#include <cstdint>
#include <string>

#include "LibCore/time.h"

namespace kingcupmill {

// What happens to a primary half-way through a run.
enum class PrimaryFault { kNone, kKill, kCut, kPause };

// The settings of one run of the lab.
struct ExperimentOptions {
  // The folder with the declarations; its name is the workload's name.
  std::string declarations = "Declarations/restock";
  size_t vm_count = 7;
  size_t session_count = 120;
  Duration duration = std::chrono::seconds(10);
  uint64_t seed = 1;
  // Reads per hundred requests, and aged reads per hundred reads.
  uint64_t read_percent = 80;
  uint64_t aged_read_percent = 50;
  Duration stated_age = std::chrono::milliseconds(1000);
  Duration replica_lag = std::chrono::milliseconds(300);
  // The mean pause of a session between two calls.
  Duration think_time = std::chrono::milliseconds(250);
  PrimaryFault fault = PrimaryFault::kKill;
  // Ports from this one on are used on the loopback address.
  uint16_t port_base = 21000;
  std::string report_path = "build/report.json";
};

}  // namespace kingcupmill

#endif  // LIBLAB_EXPERIMENT_OPTIONS_H_
