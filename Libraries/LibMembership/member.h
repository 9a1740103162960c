#ifndef LIBMEMBERSHIP_MEMBER_H_
#define LIBMEMBERSHIP_MEMBER_H_

#include <string>

#include "LibCore/names.h"

namespace kingcupmill {

// Whether a VM is expected to keep running.
enum class VmState { kLive, kLeaving };

// A VM that runs a proxy, as described by the platform's list of VMs and by its
// peers.
struct Member {
  VmName vm;
  PlaceName place;
  // Address on which the proxy listens for its peers, "IP:port".
  std::string peer_address;
  VmState state = VmState::kLive;
  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace kingcupmill

#endif  // LIBMEMBERSHIP_MEMBER_H_
