#ifndef LIBPLATFORM_VM_JSON_H_
#define LIBPLATFORM_VM_JSON_H_

#include <nlohmann/json_fwd.hpp>

#include "LibPlatform/vm_record.h"

namespace kingcupmill {

// The platform's JSON form of one VM. The decoder throws
// nlohmann::json::exception on input of the wrong shape.
void to_json(nlohmann::json& json, const VmRecord& record);
void from_json(const nlohmann::json& json, VmRecord& record);

}  // namespace kingcupmill

#endif  // LIBPLATFORM_VM_JSON_H_
