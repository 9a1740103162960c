#include "LibLab/control_cost.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace kingcupmill {

namespace {

Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) + Duration(time.tv_usec);
}

}  // namespace

std::string FormatControlCost(const ControlCost& cost) {
  const double seconds = std::chrono::duration<double>(cost.elapsed).count();
  const auto vms = static_cast<double>(cost.vm_count);
  const double processor =
      std::chrono::duration<double>(cost.processor).count();
  constexpr double kMebibyte = 1024 * 1024;
  return fmt::format(
      "vms {}: per vm {:.2f}% of a core, {:.1f} MiB, {:.0f} control bytes/s; "
      "platform {:.0f} reads/s in all; a change in force everywhere after {} "
      "ms",
      cost.vm_count, 100 * processor / seconds / vms,
      static_cast<double>(cost.resident_bytes) / kMebibyte / vms,
      static_cast<double>(cost.control_bytes) / seconds / vms,
      static_cast<double>(cost.platform_reads) / seconds,
      ToMilliseconds(cost.propagation_time));
}

Duration ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

uint64_t ResidentBytes() {
  std::ifstream stream("/proc/self/statm");
  uint64_t total = 0;
  uint64_t resident = 0;
  stream >> total >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace kingcupmill
