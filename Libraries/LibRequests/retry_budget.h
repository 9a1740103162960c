#ifndef LIBREQUESTS_RETRY_BUDGET_H_
#define LIBREQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace kingcupmill {

// Limits retries to a share of the first attempts, so that a struggling target
// is not buried by them.
class RetryBudget {
 public:
  struct Options {
    // The retries that one first attempt pays for.
    double share = 0.2;
    // The retries that may be saved up.
    double reserve = 20;
  };

  explicit RetryBudget(Options options)
      : options(options), available(options.reserve) {}

  void DidAttempt() {
    this->available =
        std::min(this->available + this->options.share, this->options.reserve);
  }

  // Returns whether a retry may be made, and spends it.
  bool TrySpend() {
    if (this->available < 1)
      return false;
    this->available -= 1;
    return true;
  }

 private:
  Options options;
  double available;
};

}  // namespace kingcupmill

#endif  // LIBREQUESTS_RETRY_BUDGET_H_
