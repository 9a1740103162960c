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

// This proxy's connections to one target, within its share of what the target
// takes.
class LinkPool {
 public:
  struct Events {
    // A link has become free.
    std::function<void()> did_free;
    // The target's log ended at the position when a connection sent at the
    // time was accepted.
    std::function<void(std::optional<LogPoint>, TimePoint)> did_open;
    std::function<void(LinkFailure)> did_fail;
  };

  LinkPool(Scheduler& scheduler,
           TargetDialers dialers,
           TargetEndpoint endpoint,
           Events events);
  ~LinkPool();

  // Sets how many connections this proxy may have to the target.
  void SetLimit(size_t limit) { this->limit = limit; }

  // Returns a free link that needs the fewest commands for `record`, or null.
  // The caller gives it back, also when it is closed.
  std::shared_ptr<TargetLink> Take(const SessionRecord& record);
  // The same, but never a link that another proxy lends.
  std::shared_ptr<TargetLink> TakeOwn(const SessionRecord& record);
  void GiveBack(const std::shared_ptr<TargetLink>& link);

  // Starts one more connection unless the limit or a recent failure forbids it.
  bool Open();

  // Starts to borrow a connection of another proxy, for one use.
  bool Borrow();

  // Returns any open link with the fewest unanswered commands, free or not.
  std::shared_ptr<TargetLink> AnyOpen() const;

  // Links that were last heard of before `moment` must show that they still
  // work before they carry a statement.
  void Suspect(TimePoint moment) { this->suspected_at = moment; }
  bool needs_probe(const TargetLink& link) const;

  // Closes all links that are not taken; taken ones are closed when they are
  // given back.
  void Retire();

  // Closes every link.
  void CloseAll();

  const TargetEndpoint& endpoint() const { return this->target_endpoint; }
  bool has_free() const { return !this->free.empty(); }
  size_t open_count() const;
  size_t opening_count() const;
  // Whether this proxy has a connection of its own that works.
  bool is_connected() const;
  size_t taken_count() const { return this->taken; }
  // Whether a connection was refused or lost so recently that none is opened.
  bool is_backing_off() const;

 private:
  std::shared_ptr<TargetLink> MakeLink(TargetDialer& dialer);
  void DidOpen(const std::weak_ptr<TargetLink>& link,
               std::optional<LogPoint> point,
               TimePoint started_at);
  void DidFail(const std::weak_ptr<TargetLink>& link, LinkFailure failure);
  bool is_borrowed(const TargetLink& link) const {
    return this->borrowed.contains(&link);
  }
  void ReturnUnused(const std::shared_ptr<TargetLink>& link);
  void Forget(const TargetLink* link);

  Scheduler& scheduler;
  TargetDialers dialers;
  TargetEndpoint target_endpoint;
  Events events;
  size_t limit = 1;
  size_t taken = 0;
  bool is_retired = false;
  std::vector<std::shared_ptr<TargetLink>> links;
  std::vector<std::shared_ptr<TargetLink>> free;
  // Those of `links` that another proxy lends.
  std::set<const TargetLink*> borrowed;
  TimePoint borrow_after{};
  TimePoint closed_until{};
  Duration back_off{};
  TimePoint suspected_at{};
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBLINK_LINK_POOL_H_
