#ifndef LIBGATEWAY_HOME_ROLES_H_
#define LIBGATEWAY_HOME_ROLES_H_

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

// Decides of which groups this proxy is a home. While the connections that a
// target takes suffice for one each, every proxy is a home of every group;
// otherwise rendezvous hashing over the members chooses a few.
class HomeRoles {
 public:
  struct Group {
    GroupName name;
    ConnectionShares shares;
    // Where its targets are.
    std::set<PlaceName> places;
    friend bool operator==(const Group&, const Group&) = default;
  };

  explicit HomeRoles(std::string self_address);

  // Takes the members that the store shows at `now`.
  void DidReadMembers(const std::map<std::string, MemberRecord>& members,
                      TimePoint now);

  // Whether the members have been read, be it that there are none.
  bool has_read_members() const { return this->has_read; }

  // Returns the groups of which this proxy should be a home. A role that has
  // gone to another member is kept for a while, so that work moves first.
  std::set<GroupName> Choose(std::span<const Group> groups, TimePoint now);

  // Returns the members that are registered as homes of a group.
  std::vector<Home> HomesOf(const GroupName& group) const;

 private:
  bool is_settled(TimePoint now);
  void Recompute();
  // Adds the places whose target has been away for a short time only, so that
  // roles do not move for it.
  std::vector<Group> WithLatePlaces(std::span<const Group> current,
                                    TimePoint now);

  std::string self_address;
  std::vector<Member> members;
  std::map<GroupName, std::vector<Home>> homes_by_group;
  std::vector<Group> groups;
  bool is_self_shown = false;
  bool has_settled = false;
  bool is_stale = true;
  bool has_read = false;
  TimePoint changed_at{};
  std::set<GroupName> chosen;
  // When a target of a group was last seen in a place.
  std::map<GroupName, std::map<PlaceName, TimePoint>> place_seen_at;
  // When a role was last due to this proxy.
  std::map<GroupName, TimePoint> due_at;
};

}  // namespace kingcupmill

#endif  // LIBGATEWAY_HOME_ROLES_H_
