#ifndef LIBMEMBERSHIP_HOME_SET_H_
#define LIBMEMBERSHIP_HOME_SET_H_

#include <set>
#include <span>
#include <vector>

#include "LibCore/names.h"
#include "LibMembership/member.h"

namespace kingcupmill {

// Chooses the VMs that connect to the targets of `group`, in the order in which
// they promote. Every VM comes to the same choice from the same members, by
// rendezvous hashing (D. Thaler and C. Ravishankar, "Using Name-Based Mappings
// to Increase Hit Rates", IEEE/ACM ToN 1998). Each place in `target_places`
// that has a live VM gets one home, even if that makes more than `count`, so
// that a place that is cut off can serve what it holds; VMs that leave are
// chosen only when there is no other.
std::vector<VmName> ChooseHomes(const GroupName& group,
                                std::span<const Member> members,
                                const std::set<PlaceName>& target_places,
                                size_t count);

}  // namespace kingcupmill

#endif  // LIBMEMBERSHIP_HOME_SET_H_
