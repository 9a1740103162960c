#ifndef LIBPEER_PEER_JSON_H_
#define LIBPEER_PEER_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "LibCore/names.h"
#include "LibLink/target_command.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// JSON encodings of the values that several messages between proxies share. The
// FromJson functions throw json::exception on anything that ToJson() does not
// write; DecodePeerBytes() turns the exception into an error.

// Decodes a name. Throws json::exception unless it is valid UTF-8, since names
// are written into JSON texts later.
std::string NameFromJson(const nlohmann::json& value);

nlohmann::json ToJson(const std::optional<LogPoint>& point);
std::optional<LogPoint> PointFromJson(const nlohmann::json& value);

nlohmann::json ToJson(const TargetCommand& command);
TargetCommand CommandFromJson(const nlohmann::json& value);

nlohmann::json ToJson(const StatementAnswer& answer);
StatementAnswer StatementAnswerFromJson(const nlohmann::json& value);

// Decodes an enum whose values are 0 to `last`; throws json::exception on any
// other number.
template <typename Enum>
Enum EnumFromJson(const nlohmann::json& value, Enum last) {
  const int number = value.get<int>();
  if (number < 0 || number > static_cast<int>(last))
    throw nlohmann::json::other_error::create(501, "unknown value", &value);
  return static_cast<Enum>(number);
}

}  // namespace kingcupmill

#endif  // LIBPEER_PEER_JSON_H_
