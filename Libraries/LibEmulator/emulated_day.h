#ifndef LIBEMULATOR_EMULATED_DAY_H_
#define LIBEMULATOR_EMULATED_DAY_H_

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

// Plays `rounds` random faults, 1.5 s apart, heals everything and goes on.
EmulatedDayReport PlayEmulatedDay(uint64_t seed, int rounds);

}  // namespace kingcupmill

#endif  // LIBEMULATOR_EMULATED_DAY_H_
