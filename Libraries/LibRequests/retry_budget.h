#ifndef LIBREQUESTS_RETRY_BUDGET_H_
#define LIBREQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace kingcupmill {

// Limits retries to a fraction of the first attempts, so that retries do not
// overload a target that is already slow.
class RetryBudget {
 public:
  struct Options {
    // The number of retries that each first attempt allows.
    double share = 0.2;
    // The largest number of unused retries that accumulate.
    double reserve = 20;
  };

  explicit RetryBudget(Options options)
      : options(options), available(options.reserve) {}

  // Call this for each first attempt.
  void DidAttempt() {
    this->available =
        std::min(this->available + this->options.share, this->options.reserve);
  }

  // Returns whether a retry is allowed, and deducts it from the budget.
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
