#ifndef LIBGATEWAY_STORE_READERS_H_
#define LIBGATEWAY_STORE_READERS_H_

#include <map>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCore/names.h"

namespace kingcupmill {

// Returns the members of `place` that read the store on behalf of the others
// there, in the order in which `self_address` should prefer them. Returns
// nothing when the proxy at `self_address` must read the store itself: the
// place has few members, or the proxy is not a member there yet or is a reader.
std::vector<std::string> ChooseStoreReaders(
    const std::map<std::string, MemberRecord>& members,
    const PlaceName& place,
    const std::string& self_address);

}  // namespace kingcupmill

#endif  // LIBGATEWAY_STORE_READERS_H_
