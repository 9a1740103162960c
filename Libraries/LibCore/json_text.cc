#include "LibCore/json_text.h"

namespace kingcupmill {

Result<std::string> EncodeJson(const nlohmann::json& value) {
  try {
    return value.dump();
  } catch (const nlohmann::json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace kingcupmill
