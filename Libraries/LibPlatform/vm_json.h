#ifndef LIBPLATFORM_VM_JSON_H_
#define LIBPLATFORM_VM_JSON_H_

#include <nlohmann/json_fwd.hpp>

#include "LibPlatform/vm_record.h"

namespace kingcupmill {

// Converts a VmRecord to and from the platform's JSON. from_json throws
// nlohmann::json::exception if a value has the wrong type or the name is
// missing.
void to_json(nlohmann::json& json, const VmRecord& record);
void from_json(const nlohmann::json& json, VmRecord& record);

}  // namespace kingcupmill

#endif  // LIBPLATFORM_VM_JSON_H_
