#ifndef LIBCOORDINATION_MEMBER_WATCH_H_
#define LIBCOORDINATION_MEMBER_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCore/lifetime_guard.h"
#include "LibCore/scheduler.h"
#include "LibPeer/peer_links.h"
#include "LibTables/row_store.h"

namespace kingcupmill {

class EventLog;

// Detects failed proxies by querying a few other members. A member that does
// not answer is soon barred from leases, so that handovers need not wait for
// it, and after a longer time marked as gone; its row is removed later. Apart
// from the homes of shared groups, the number of members that one proxy queries
// does not grow with the number of proxies.
class MemberWatch {
 public:
  struct Context {
    Scheduler& scheduler;
    RowStore& store;
    const CoordinationView& view;
    PeerLinks& peers;
    EventLog& event_log;
    std::string self_address;
    PlaceName place;
    // Returns the groups that this proxy is a home of. The other homes of these
    // groups are queried too.
    std::function<std::vector<GroupName>()> groups;
    // Returns whether this proxy has been able to read the store for a while,
    // so that the silence of others is not its own isolation.
    std::function<bool()> can_exclude;
  };

  explicit MemberWatch(Context context);

  // Queries the members that are due and marks silent ones as gone. The owner
  // calls this at short intervals.
  void Tick();

  // Records an answer of a member to any query. Called when one arrives.
  void DidReceiveAnswer(const std::string& address);

  // Returns whether a member answered recently enough to count as alive.
  bool has_recent_answer(const std::string& address) const;

  // Returns when a member last answered; the zero time if it never did.
  TimePoint LastAnswerAt(const std::string& address) const;

  // Queries some members of other availability zones, to find out whether this
  // proxy is isolated.
  void ProbeOtherPlaces();

  // Returns how long all members of other availability zones have been silent,
  // counted from the first query after the last answer of any of them.
  Duration OtherPlacesSilence() const;

  // Bars a silent home from leases in the store, once until it answers again.
  // If it is alive and can read the store, it registers again when it sees
  // that. Has no effect on members that cannot be barred.
  void Bar(const std::string& address);

 private:
  // Marks a member as gone in the store.
  void MarkGone(const std::string& address);
  // Writes the row of a member, unless it has changed meanwhile.
  void WriteRow(const MemberRecord& member);
  void Query(const std::string& address);
  void QueryOtherPlaces(size_t limit);
  // Returns the members that are not gone, ordered on a hash ring and starting
  // after `address`.
  std::vector<std::string> SuccessorsOf(const std::string& address) const;
  // Returns the members that this proxy watches, its successors on the ring.
  std::vector<std::string> Watched() const;
  // Bars those of `watched` that have been silent for a while, and marks those
  // as gone that have been for too long.
  void ExcludeSilent(std::span<const std::string> watched);
  // Removes the rows of members that have been gone for so long that no
  // handover waits for them.
  void RemoveGoneRows();
  bool is_in_other_place(const std::string& address) const;

  Context context;
  std::map<std::string, TimePoint> last_answer_at;
  // The members that were barred since their last answer.
  std::set<std::string> barred;
  // When the first query to another availability zone since the last answer
  // from one was sent.
  std::optional<TimePoint> other_places_silent_since;
  TimePoint queried_at{};
  uint64_t round = 0;
  size_t next_other_place = 0;
  LifetimeGuard life;
};

}  // namespace kingcupmill

#endif  // LIBCOORDINATION_MEMBER_WATCH_H_
