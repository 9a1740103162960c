#ifndef LIBCORE_RANDOM_SOURCE_H_
#define LIBCORE_RANDOM_SOURCE_H_

#include <concepts>
#include <cstdint>
#include <random>

namespace kingcupmill {

// A source of random numbers for classes that make randomized decisions.
template <typename T>
concept RandomSource = requires(T source, uint64_t bound) {
  { source.Below(bound) } -> std::convertible_to<uint64_t>;
};

// A pseudorandom generator; equal seeds yield equal sequences.
class SeededRandom {
 public:
  explicit SeededRandom(uint64_t seed) : engine(seed) {}

  // Returns a number from 0 to `bound` - 1; `bound` is positive.
  uint64_t Below(uint64_t bound) { return this->engine() % bound; }

 private:
  std::mt19937_64 engine;
};

}  // namespace kingcupmill

#endif  // LIBCORE_RANDOM_SOURCE_H_
