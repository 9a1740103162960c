#ifndef LIBMEMBERSHIP_MEMBER_H_
#define LIBMEMBERSHIP_MEMBER_H_

#include <string>

#include "LibCore/names.h"

namespace kingcupmill {

// Whether a VM is expected to stay.
enum class VmState { kLive, kLeaving };

// One entry VM, as the platform's list and its peers describe it.
struct Member {
  VmName vm;
  PlaceName place;
  // Where it listens for its peers, "IP:port".
  std::string peer_address;
  VmState state = VmState::kLive;
  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace kingcupmill

#endif  // LIBMEMBERSHIP_MEMBER_H_
