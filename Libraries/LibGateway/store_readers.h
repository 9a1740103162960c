#ifndef LIBGATEWAY_STORE_READERS_H_
#define LIBGATEWAY_STORE_READERS_H_

#include <map>
#include <string>
#include <vector>

#include "LibCoordination/coordination_view.h"
#include "LibCore/names.h"

namespace kingcupmill {

// Returns the members of `place` that read the store for the others there, the
// preferred one of `self_address` first. Empty when all read it themselves: the
// place has few members, or this proxy is not among them or is a reader.
std::vector<std::string> ChooseStoreReaders(
    const std::map<std::string, MemberRecord>& members,
    const PlaceName& place,
    const std::string& self_address);

}  // namespace kingcupmill

#endif  // LIBGATEWAY_STORE_READERS_H_
