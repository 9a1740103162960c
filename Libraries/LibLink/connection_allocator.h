#ifndef LIBLINK_CONNECTION_ALLOCATOR_H_
#define LIBLINK_CONNECTION_ALLOCATOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "LibCore/names.h"
#include "LibCore/time.h"

namespace kingcupmill {

// Decides which customers have this proxy's connections to one target: whether
// a connection is opened for a waiting customer, and which idle connection of
// another customer is closed to make room for it. Estimates from past use when
// a customer will need a connection again, and limits how many connections are
// opened a second, since each occupies a slot of the target for a while.
class ConnectionAllocator {
 public:
  // What one customer has and wants of the connections to the target.
  struct CustomerState {
    size_t in_use = 0;
    size_t idle = 0;
    size_t opening = 0;
    size_t waiting = 0;

    size_t connection_count() const {
      return this->in_use + this->idle + this->opening;
    }
  };

  // An open connection that no command is running on.
  struct IdleConnection {
    CustomerName customer;
    TimePoint opened_at;
  };

  struct Situation {
    std::map<CustomerName, CustomerState> customers;
    std::vector<IdleConnection> idle;
    // Connections that count against the limit.
    size_t count = 0;
    size_t limit = 0;
  };

  // A waiting customer without a free connection.
  struct Demand {
    CustomerName customer;
    // When it began to wait.
    TimePoint waiting_since;
    // When its request is refused unless it was started before.
    TimePoint wait_until;
    // When one of its own connections in use is expected to become free.
    std::optional<Duration> own_is_free_in;
  };

  enum class Action { kOpen, kReassign, kWait };
  struct Decision {
    Action action = Action::kWait;
    // With kReassign, the index of the idle connection to close.
    size_t victim = 0;
  };

  // Sets how many connections may be opened in any second.
  void SetOpenRate(double per_second);

  // Records that a request of the customer got a connection, and how long it
  // kept it.
  void DidAcquire(const CustomerName& customer, TimePoint now);
  void DidRelease(const CustomerName& customer, Duration held);
  // Records that a connection is being opened.
  void DidStartOpening(TimePoint now);

  Decision Decide(const Situation& situation,
                  const Demand& demand,
                  TimePoint now) const;

  // Returns in how long the customer is expected to need a connection again.
  Duration ExpectedReturn(const CustomerName& customer, TimePoint now) const;
  // Returns how long a request of the customer usually keeps a connection.
  Duration ExpectedHold(const CustomerName& customer) const;

 private:
  struct Usage {
    TimePoint last_acquired_at;
    Duration average_interval;
    Duration average_hold;
  };

  double TokensAt(TimePoint now) const;
  Usage& UsageOf(const CustomerName& customer, TimePoint now);
  // Whether `candidate`, which is expected to be used in `unused_for`, may be
  // closed for the benefit of the waiting customer.
  bool MayClose(const Situation& situation,
                const IdleConnection& candidate,
                Duration unused_for,
                const Demand& demand,
                TimePoint now) const;

  std::map<CustomerName, Usage> usage_by_customer;
  double burst = 1;
  double refill_per_second = 1;
  double tokens = 1;
  TimePoint refilled_at{};
};

}  // namespace kingcupmill

#endif  // LIBLINK_CONNECTION_ALLOCATOR_H_
