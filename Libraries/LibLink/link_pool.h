#ifndef LIBLINK_LINK_POOL_H_
#define LIBLINK_LINK_POOL_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibLink/target_channel.h"
#include "LibLink/target_link.h"

namespace kingcupmill {

// This proxy's connections to one target, limited to its share of the
// connections that the target accepts.
class LinkPool {
 public:
  struct Events {
    // A connection has become free.
    std::function<void()> did_free;
    // One of this proxy's own connections was accepted: the end of the target's
    // log, and when the proxy started to connect.
    std::function<void(std::optional<LogPoint>, TimePoint)> did_open;
    std::function<void(LinkFailure)> did_fail;
  };

  LinkPool(Scheduler& scheduler,
           TargetDialers dialers,
           TargetEndpoint endpoint,
           Events events);
  ~LinkPool();

  // Sets how many connections of its own this proxy may have to the target.
  void SetLimit(size_t limit) { this->limit = limit; }

  // Returns the free connection that needs the fewest commands to set up
  // `session_context`, or null if none is free. The caller must release it,
  // even if it is closed.
  std::shared_ptr<TargetLink> Take(const SessionRecord& session_context);
  // The same, but never returns a borrowed connection.
  std::shared_ptr<TargetLink> TakeOwn(const SessionRecord& session_context);
  void GiveBack(const std::shared_ptr<TargetLink>& connection);

  // Starts to open one more connection. Returns false if the limit or a recent
  // failure forbids it.
  bool Open();

  // Starts to borrow a connection of another proxy for a single use. Returns
  // false if too many are borrowed or a recent attempt failed.
  bool Borrow();

  // Returns an open connection, preferably a free one without unanswered
  // commands, or null.
  std::shared_ptr<TargetLink> AnyOpen() const;

  // Connections whose last answer came before `moment` need a probe before they
  // carry a statement.
  void Suspect(TimePoint moment) { this->suspect_before = moment; }
  bool needs_probe(const TargetLink& connection) const;

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
  size_t taken_count() const { return this->in_use; }
  // Whether a connection was refused or lost so recently that none is opened.
  bool is_backing_off() const;

 private:
  std::shared_ptr<TargetLink> CreateConnection(TargetDialer& dialer);
  void DidOpen(const std::weak_ptr<TargetLink>& connection,
               std::optional<LogPoint> point,
               TimePoint started_at);
  void DidFail(const std::weak_ptr<TargetLink>& connection,
               LinkFailure failure);
  bool is_borrowed(const TargetLink& connection) const {
    return this->borrowed.contains(&connection);
  }
  void CloseIfFree(const std::shared_ptr<TargetLink>& connection);
  void Remove(const TargetLink* connection);

  Scheduler& scheduler;
  TargetDialers dialers;
  TargetEndpoint target_endpoint;
  Events events;
  size_t limit = 1;
  size_t in_use = 0;
  bool is_retired = false;
  std::vector<std::shared_ptr<TargetLink>> connections;
  std::vector<std::shared_ptr<TargetLink>> free;
  // Those of `connections` that are borrowed from another proxy.
  std::set<const TargetLink*> borrowed;
  TimePoint next_borrow_at{};
  TimePoint backing_off_until{};
  Duration back_off_delay{};
  TimePoint suspect_before{};
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBLINK_LINK_POOL_H_
