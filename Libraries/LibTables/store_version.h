#ifndef LIBTABLES_STORE_VERSION_H_
#define LIBTABLES_STORE_VERSION_H_

#include <cstdint>

namespace kingcupmill {

// The store numbers its versions. When it is restored from a backup, the number
// goes back, later numbers are assigned again, and the store's era is
// incremented. A version holds the era in its upper and the number in its lower
// bits, so that versions are ordered across restores.
constexpr unsigned kVersionNumberBits = 40;

constexpr uint64_t MakeStoreVersion(uint64_t era, uint64_t number) {
  return (era << kVersionNumberBits) | number;
}

// Returns how often the store had been restored when it assigned `version`, as
// counted by the store.
constexpr uint64_t EraOf(uint64_t version) {
  return version >> kVersionNumberBits;
}

// Returns the store's own number of `version`, which is unique in its era.
constexpr uint64_t NumberOf(uint64_t version) {
  return version & ((uint64_t{1} << kVersionNumberBits) - 1);
}

}  // namespace kingcupmill

#endif  // LIBTABLES_STORE_VERSION_H_
