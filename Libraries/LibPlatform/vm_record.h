#ifndef LIBPLATFORM_VM_RECORD_H_
#define LIBPLATFORM_VM_RECORD_H_

#include <string>

#include "LibCore/names.h"
#include "LibMembership/member.h"

namespace kingcupmill {

// What a VM runs: kEntry a proxy, kTarget a database server.
enum class VmRole { kEntry, kTarget };

// One entry of the platform's list of VMs.
struct VmRecord {
  // The name of the VM. A VM with role kTarget has the name of its target.
  std::string name;
  VmRole role = VmRole::kEntry;
  PlaceName place;
  VmState state = VmState::kLive;
  // The listen addresses ("IP:port") of a VM with role kEntry.
  std::string http_address;
  std::string peer_address;
  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

}  // namespace kingcupmill

#endif  // LIBPLATFORM_VM_RECORD_H_
