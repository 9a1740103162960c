#ifndef LIBCOORDINATION_MEMBER_WATCH_H_
#define LIBCOORDINATION_MEMBER_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCore/life_guard.h"
#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

class EventJournal;

// Asks a few other proxies for signs of life. Who stays silent is marked as
// gone, so that nobody waits for it; rows of those that are long gone are
// removed. What one proxy asks does not grow with their number.
class MemberWatch {
 public:
  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    PeerLinks& peers;
    EventJournal& journal;
    std::string self_address;
    PlaceName place;
    // How long leases may go on after their holder was last heard.
    Duration lease_wait;
    // The groups of which this proxy is a home; the other homes are asked too.
    std::function<std::vector<GroupName>()> groups;
  };

  explicit MemberWatch(Context context);

  // Asks those whose turn it is. Called at short intervals.
  void Tick();

  // A peer has answered.
  void DidHear(const std::string& address);

  // Whether a member was heard so lately that it counts as alive.
  bool is_heard(const std::string& address) const;

  // When a member was last heard; zero time when never.
  TimePoint HeardAt(const std::string& address) const;

  // Asks some members of other places.
  void AskOtherPlaces();

  // How long all members of other places have been silent: from the first
  // question after the last answer of any of them.
  Duration OtherPlacesSilence() const;

  // Writes that a member is gone.
  void MarkGone(const std::string& address);

 private:
  void Ask(const std::string& address);
  void AskOfOtherPlaces(size_t count);
  std::vector<std::string> FollowersOf(const std::string& address) const;
  std::vector<std::string> Watched() const;
  void MarkSilent(std::span<const std::string> watched);
  void ForgetGone();
  bool is_elsewhere(const std::string& address) const;

  Context context;
  std::map<std::string, TimePoint> heard_at;
  // From the first question to another place that no answer followed.
  std::optional<TimePoint> others_silent_since;
  TimePoint asked_at{};
  uint64_t round = 0;
  size_t next_other_place = 0;
  LifeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_MEMBER_WATCH_H_
