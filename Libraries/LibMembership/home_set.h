#ifndef LIBMEMBERSHIP_HOME_SET_H_
#define LIBMEMBERSHIP_HOME_SET_H_

#include <set>
#include <span>
#include <vector>

#include "LibCore/names.h"
#include "LibMembership/member.h"

namespace kingcupmill {

// Chooses the homes of `group`, which are the VMs whose proxies connect to its
// targets, and returns them in the order in which they attempt promotions. The
// choice uses rendezvous hashing (D. Thaler and C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998), so every VM
// makes the same choice from the same members.
//
// Each availability zone in `target_places` that has a live VM gets at least
// one home, even if that exceeds `count`, so that an isolated zone can serve
// the data it holds. VMs that are leaving are chosen only when no VM is live.
std::vector<VmName> ChooseHomes(const GroupName& group,
                                std::span<const Member> members,
                                const std::set<PlaceName>& target_places,
                                size_t count);

}  // namespace kingcupmill

#endif  // LIBMEMBERSHIP_HOME_SET_H_
