#ifndef LIBPLATFORM_VM_RECORD_H_
#define LIBPLATFORM_VM_RECORD_H_

#include <string>

#include "LibCore/names.h"
#include "LibMembership/member.h"

namespace kingcupmill {

// What a VM of the platform's list runs.
enum class VmRole { kEntry, kTarget };

// One line of the platform's list of VMs.
struct VmRecord {
  // The VM's name; for a target's VM, the target's name.
  std::string name;
  VmRole role = VmRole::kEntry;
  PlaceName place;
  VmState state = VmState::kLive;
  // Entry VMs: where they listen, "IP:port".
  std::string http_address;
  std::string peer_address;
  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

}  // namespace kingcupmill

#endif  // LIBPLATFORM_VM_RECORD_H_
