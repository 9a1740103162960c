#ifndef LIBLINK_ZIPF_MIX_H_
#define LIBLINK_ZIPF_MIX_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibCore/random_source.h"

namespace kingcupmill {

// A mix in tests of customers of which the share of the n-th falls as
// n^-exponent.
class ZipfMix {
 public:
  ZipfMix(size_t count, double exponent) {
    double sum = 0;
    for (size_t number = 1; number <= count; ++number) {
      sum += std::pow(static_cast<double>(number), -exponent);
      this->cumulative.push_back(sum);
    }
  }

  // Returns the index of a customer, which is below `count`.
  size_t Choose(SeededRandom& random) const {
    constexpr uint64_t kResolution = 1'000'000;
    const double fraction =
        static_cast<double>(random.Below(kResolution)) / kResolution;
    const auto found =
        std::lower_bound(this->cumulative.begin(), this->cumulative.end(),
                         fraction * this->cumulative.back());
    return static_cast<size_t>(found - this->cumulative.begin());
  }

 private:
  std::vector<double> cumulative;
};

}  // namespace kingcupmill

#endif  // LIBLINK_ZIPF_MIX_H_
