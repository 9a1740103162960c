#ifndef LIBLINK_CONNECTION_POOL_H_
#define LIBLINK_CONNECTION_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibLink/connection_allocator.h"
#include "LibLink/pooled_connection.h"
#include "LibLink/target_channel.h"

namespace kingcupmill {

// This proxy's connections to one target, limited to its share of the
// connections that the target accepts. Each is opened under the name of one
// customer, whose requests alone it serves, or under this VM's name for
// requests without a customer. Where no customers are declared, all are of that
// kind.
class ConnectionPool {
 public:
  // An idle connection was closed to make room for another customer's.
  struct Reassignment {
    CustomerName from;
    CustomerName to;
    // In how long the former customer was expected back.
    Duration expected_return;
  };

  // Queued requests of one customer that have no free connection.
  struct Demand {
    CustomerName customer;
    size_t waiting = 0;
    // When the request for which this was determined is refused.
    TimePoint wait_until;
  };

  struct Events {
    // A connection has become free.
    std::function<void()> did_become_free;
    // One of this proxy's own connections was accepted: the end of the target's
    // log, and when the proxy started to connect.
    std::function<void(std::optional<LogPoint>, TimePoint)> did_open;
    std::function<void(ConnectionFailure)> did_fail;
    std::function<void(const Reassignment&)> did_reassign;
  };

  ConnectionPool(Scheduler& scheduler,
                 TargetDialers dialers,
                 TargetEndpoint endpoint,
                 Events events);
  ~ConnectionPool();

  // Sets how many connections of its own this proxy may have to the target.
  void SetLimit(size_t limit) { this->limit = limit; }
  // Sets how many connections for customers may be opened in any second.
  void SetOpenRate(double per_second) {
    this->allocator.SetOpenRate(per_second);
  }

  // Returns the free connection of the customer that needs the fewest commands
  // to set up `session_context`, or null if none is free. The caller must
  // release it, even if it is closed.
  std::shared_ptr<PooledConnection> Acquire(
      const CustomerName& customer,
      const SessionContext& session_context);
  // The same, but never returns a borrowed connection.
  std::shared_ptr<PooledConnection> AcquireOwn(
      const CustomerName& customer,
      const SessionContext& session_context);
  void Release(const std::shared_ptr<PooledConnection>& connection);

  // Starts to open one more connection under the name of the customer. Returns
  // false if the limit or a recent failure forbids it.
  bool Open(const CustomerName& customer);

  // Starts to open one more connection for the proxy's own commands, unless the
  // limit, a recent failure or a customer's connection that is being opened
  // makes it impossible or needless.
  void OpenForControl();

  // Starts to open a connection for a waiting customer, for which it may close
  // an idle one of another customer. Returns false if that would cost more than
  // it gains, or exceed the open rate. Returns true if enough are being opened.
  bool Provide(const Demand& demand);
  // Starts to open a connection that can be lent for requests of the customer.
  // Returns whether one for them is being opened.
  bool ProvideForLoan(const CustomerName& customer);
  // Returns what Provide() would cost other customers: the time of a handshake
  // if the one that loses its connection needs it soon, less if it does not,
  // and nothing while the limit is not reached.
  Duration ProvisionCost(const CustomerName& customer) const;
  // Lets a waiting customer, for which Provide() has returned false, have a
  // connection that becomes idle.
  void AddClaim(const Demand& demand);

  // Starts to borrow a connection of another proxy for a single use. Returns
  // false if too many are borrowed or a recent attempt failed.
  bool Borrow(const CustomerName& customer);

  // Returns an open connection, preferably a free one without unanswered
  // commands, or null.
  std::shared_ptr<PooledConnection> FindOpen() const;

  // Connections whose last answer came before `moment` need a probe before they
  // carry a statement.
  void RequireProbeBefore(TimePoint moment) { this->suspect_before = moment; }
  bool needs_probe(const PooledConnection& connection) const;

  // Closes all free connections; those in use are closed when they are
  // released.
  void Retire();

  // Closes every connection.
  void CloseAll();

  const TargetEndpoint& endpoint() const { return this->target_endpoint; }
  bool has_free(const CustomerName& customer) const;
  // Whether a connection was opened under the name of a customer.
  bool has_customers() const;
  // Whether no connection is free, for any customer.
  bool is_exhausted() const { return this->free.empty(); }
  size_t open_count() const;
  size_t opening_count() const;
  size_t opening_count(const CustomerName& customer) const;
  // Whether one of this proxy's own connections is open.
  bool is_connected() const;
  size_t in_use_count() const { return this->in_use; }
  // Whether a connection was refused or lost so recently that none is opened.
  bool is_backing_off() const;

 private:
  // A customer that waits for a connection to become idle.
  struct Claim {
    TimePoint since;
    TimePoint until;
    size_t waiting = 0;
  };

  std::shared_ptr<PooledConnection> CreateConnection(
      TargetDialer& dialer,
      const CustomerName& customer);
  void AddOpening(const CustomerName& customer);
  // Returns how many connections count against the limit: this proxy's own and
  // those that are being closed to be replaced.
  size_t CountOwn() const;
  // Returns what the allocator decides on, and stores the connections that its
  // list of idle ones refers to.
  ConnectionAllocator::Situation CurrentSituation(
      std::vector<std::shared_ptr<PooledConnection>>& idle) const;
  // Returns in how long a connection in use of the customer is expected to
  // serve one more request, or nothing without one that will.
  std::optional<Duration> ExpectedWait(const CustomerName& customer,
                                       size_t waiting) const;
  bool Reassign(const std::shared_ptr<PooledConnection>& victim,
                const CustomerName& customer);
  void DidCloseForReassignment(const CustomerName& customer);
  // Gives idle connections to customers that wait for one.
  void ServeClaims();
  void StartClaimTimer();
  void DidOpen(const std::weak_ptr<PooledConnection>& connection,
               std::optional<LogPoint> point,
               TimePoint started_at);
  void DidFail(const std::weak_ptr<PooledConnection>& connection,
               ConnectionFailure failure);
  bool is_borrowed(const PooledConnection& connection) const {
    return this->borrowed.contains(&connection);
  }
  void CloseIfFree(const std::shared_ptr<PooledConnection>& connection);
  void Remove(const PooledConnection* connection);

  Scheduler& scheduler;
  TargetDialers dialers;
  TargetEndpoint target_endpoint;
  Events events;
  ConnectionAllocator allocator;
  size_t limit = 1;
  size_t in_use = 0;
  bool is_retired = false;
  std::vector<std::shared_ptr<PooledConnection>> connections;
  std::vector<std::shared_ptr<PooledConnection>> free;
  // Those of `connections` that are borrowed from another proxy.
  std::set<const PooledConnection*> borrowed;
  // Since when each connection in use has been in use.
  std::map<const PooledConnection*, TimePoint> acquired_at;
  // The customers for which a connection is opened as soon as the closed one
  // that it replaces no longer counts at the target.
  std::vector<CustomerName> awaiting_close;
  std::map<CustomerName, Claim> claims;
  bool is_claim_timer_running = false;
  TimePoint next_borrow_at{};
  TimePoint backing_off_until{};
  Duration back_off_delay{};
  TimePoint suspect_before{};
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBLINK_CONNECTION_POOL_H_
