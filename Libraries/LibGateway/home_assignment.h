#ifndef LIBGATEWAY_HOME_ASSIGNMENT_H_
#define LIBGATEWAY_HOME_ASSIGNMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCore/names.h"
#include "LibCore/time.h"
#include "LibMembership/connection_shares.h"
#include "LibMembership/member.h"
#include "LibRelay/home_chooser.h"

namespace kingcupmill {

// Decides which groups this proxy is a home of. A home holds connections to the
// group's targets and serves the other proxies too. While the connection limit
// of a target allows one connection per proxy, every proxy is a home of every
// group; otherwise rendezvous hashing over the members chooses a few.
class HomeAssignment {
 public:
  struct Group {
    GroupName name;
    ConnectionShares shares;
    // The places of its targets.
    std::set<PlaceName> places;
    friend bool operator==(const Group&, const Group&) = default;
  };

  explicit HomeAssignment(std::string self_address);

  // Updates the members as read from the store at `now`.
  void DidReadMembers(const std::map<std::string, MemberRecord>& members,
                      TimePoint now);

  // Whether the members have been read at least once, even if there were none.
  bool has_read_members() const { return this->has_read; }

  // Returns the groups of which this proxy should be a home. A group that has
  // moved to another member is kept for a while, so that open transactions can
  // end and other proxies use the new home first.
  std::set<GroupName> Choose(std::span<const Group> groups, TimePoint now);

  // Returns the members that are registered as homes of a group.
  std::vector<Home> HomesOf(const GroupName& group) const;

 private:
  bool is_settled(TimePoint now);
  void Recompute();
  // Adds the places that had a target of the group recently, so that homes do
  // not move while a target restarts.
  std::vector<Group> WithRecentPlaces(std::span<const Group> current,
                                      TimePoint now);

  std::string self_address;
  std::vector<Member> members;
  std::map<GroupName, std::vector<Home>> homes_by_group;
  std::vector<Group> groups;
  bool is_self_registered = false;
  bool has_settled = false;
  bool needs_recompute = true;
  bool has_read = false;
  TimePoint changed_at{};
  std::set<GroupName> chosen;
  // When each place last had a target of the group.
  std::map<GroupName, std::map<PlaceName, TimePoint>> place_seen_at;
  // When this proxy was last chosen as a home of the group.
  std::map<GroupName, TimePoint> last_chosen_at;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_HOME_ASSIGNMENT_H_
