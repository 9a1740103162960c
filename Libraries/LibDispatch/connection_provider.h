#ifndef LIBDISPATCH_CONNECTION_PROVIDER_H_
#define LIBDISPATCH_CONNECTION_PROVIDER_H_

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <utility>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

class TargetView;

// Provides connections for queued requests: chooses the target at which one is
// opened, reassigned, claimed or borrowed.
class ConnectionProvider {
 public:
  // A target that could run the request if it had a connection.
  struct Candidate {
    TargetView* target;
    Duration cost;
  };

  // Restarts the count of queued requests.
  void BeginPass() {
    this->waiting_by_customer.clear();
    this->refused.clear();
  }
  void AddWaiting(const CustomerName& customer) {
    ++this->waiting_by_customer[customer];
  }

  // Returns the cost of running a request of the customer at a target without a
  // free connection for it; zero where no customers are declared.
  Duration CostOf(const CustomerName& customer, const TargetView& target) const;

  // Starts to provide a connection for one of the `queued` requests, of which
  // it is known that none of the candidates has a free connection for it. Does
  // nothing if enough are being opened.
  void Provide(const CustomerName& customer,
               std::span<const Candidate> candidates,
               size_t queued,
               TimePoint wait_until);

 private:
  std::map<CustomerName, size_t> waiting_by_customer;
  // The customers that got nothing in this pass, with the target that would
  // have cost least. The next request of the same customer gets nothing either,
  // so that a pass over a long queue stays cheap.
  std::set<std::pair<CustomerName, const TargetView*>> refused;
};

// Returns how many connections per second a home may open to a target with
// `slots` slots, of `homes` homes.
double ConnectionOpenRate(int slots, size_t homes);

}  // namespace kingcupmill

#endif  // LIBDISPATCH_CONNECTION_PROVIDER_H_
