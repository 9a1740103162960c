#ifndef LIBCORE_JSON_TEXT_H_
#define LIBCORE_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "LibCore/error.h"

namespace kingcupmill {

// Returns `value` as a JSON text. Fails with kInvalidInput if a string in it is
// not valid UTF-8.
Result<std::string> EncodeJson(const nlohmann::json& value);

}  // namespace kingcupmill

#endif  // LIBCORE_JSON_TEXT_H_
