#ifndef LIBLAB_CONTROL_COST_H_
#define LIBLAB_CONTROL_COST_H_

#include <cstdint>
#include <string>

#include "LibCore/time.h"

namespace kingcupmill {

// The resources that all proxies of one process use without load, stand-ins
// included.
struct ControlCost {
  size_t vm_count = 0;
  Duration elapsed{0};
  Duration processor{0};
  uint64_t resident_bytes = 0;
  uint64_t platform_reads = 0;
  // The bytes of control messages between proxies, counted at both the sender
  // and the receiver.
  uint64_t control_bytes = 0;
  // The time from publishing a change until the last proxy has it in force.
  Duration propagation_time{0};
};

// Returns one line with the cost per VM.
std::string FormatControlCost(const ControlCost& cost);

// The processor time and the resident memory of this process.
Duration ProcessorTime();
uint64_t ResidentBytes();

}  // namespace kingcupmill

#endif  // LIBLAB_CONTROL_COST_H_
