#ifndef LIBLINK_CONNECTION_POOL_H_
#define LIBLINK_CONNECTION_POOL_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibLink/pooled_connection.h"
#include "LibLink/target_channel.h"

namespace kingcupmill {

// This proxy's connections to one target, limited to its share of the
// connections that the target accepts.
class ConnectionPool {
 public:
  struct Events {
    // A connection has become free.
    std::function<void()> did_become_free;
    // One of this proxy's own connections was accepted: the end of the target's
    // log, and when the proxy started to connect.
    std::function<void(std::optional<LogPoint>, TimePoint)> did_open;
    std::function<void(ConnectionFailure)> did_fail;
  };

  ConnectionPool(Scheduler& scheduler,
                 TargetDialers dialers,
                 TargetEndpoint endpoint,
                 Events events);
  ~ConnectionPool();

  // Sets how many connections of its own this proxy may have to the target.
  void SetLimit(size_t limit) { this->limit = limit; }

  // Returns the free connection that needs the fewest commands to set up
  // `session_context`, or null if none is free. The caller must release it,
  // even if it is closed.
  std::shared_ptr<PooledConnection> Acquire(
      const SessionContext& session_context);
  // The same, but never returns a borrowed connection.
  std::shared_ptr<PooledConnection> AcquireOwn(
      const SessionContext& session_context);
  void Release(const std::shared_ptr<PooledConnection>& connection);

  // Starts to open one more connection. Returns false if the limit or a recent
  // failure forbids it.
  bool Open();

  // Starts to borrow a connection of another proxy for a single use. Returns
  // false if too many are borrowed or a recent attempt failed.
  bool Borrow();

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
  bool has_free() const { return !this->free.empty(); }
  size_t open_count() const;
  size_t opening_count() const;
  // Whether one of this proxy's own connections is open.
  bool is_connected() const;
  size_t in_use_count() const { return this->in_use; }
  // Whether a connection was refused or lost so recently that none is opened.
  bool is_backing_off() const;

 private:
  std::shared_ptr<PooledConnection> CreateConnection(TargetDialer& dialer);
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
  size_t limit = 1;
  size_t in_use = 0;
  bool is_retired = false;
  std::vector<std::shared_ptr<PooledConnection>> connections;
  std::vector<std::shared_ptr<PooledConnection>> free;
  // Those of `connections` that are borrowed from another proxy.
  std::set<const PooledConnection*> borrowed;
  TimePoint next_borrow_at{};
  TimePoint backing_off_until{};
  Duration back_off_delay{};
  TimePoint suspect_before{};
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBLINK_CONNECTION_POOL_H_
