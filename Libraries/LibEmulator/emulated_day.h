#ifndef LIBEMULATOR_EMULATED_DAY_H_
#define LIBEMULATOR_EMULATED_DAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcupmill {

// What one random day gave.
struct EmulatedDayReport {
  std::vector<std::string> violations;
  uint64_t statements = 0;
  uint64_t promotions = 0;
  // Writes that succeeded in the seconds after everything was healed.
  uint64_t writes_after_healing = 0;
};

struct EmulatedDayOptions {
  uint64_t seed = 1;
  // Random faults, 1.5 s apart.
  int rounds = 14;
  // Proxies; with more than a target takes connections, statements are
  // forwarded.
  size_t nodes = 5;
};

// Plays the faults, heals everything and goes on.
EmulatedDayReport PlayEmulatedDay(const EmulatedDayOptions& options);

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_DAY_H_
