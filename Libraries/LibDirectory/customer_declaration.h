#ifndef LIBDIRECTORY_CUSTOMER_DECLARATION_H_
#define LIBDIRECTORY_CUSTOMER_DECLARATION_H_

#include <optional>

namespace kingcupmill {

// How many operations of a customer may run, over all VMs together.
struct UsageLimit {
  // Operations a second.
  double rate = 0;
  // Operations that may run beyond the rate at once.
  double burst = 0;
  friend bool operator==(const UsageLimit&, const UsageLimit&) = default;
};

// The configuration of one customer, without its keys.
struct CustomerDeclaration {
  // 0 is the most urgent.
  int priority = 0;
  // Nothing when the customer's usage is not limited.
  std::optional<UsageLimit> usage_limit;
  friend bool operator==(const CustomerDeclaration&,
                         const CustomerDeclaration&) = default;
};

}  // namespace kingcupmill

#endif  // LIBDIRECTORY_CUSTOMER_DECLARATION_H_
