#ifndef LIBPEER_PEER_JSON_H_
#define LIBPEER_PEER_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "LibCore/names.h"
#include "LibLink/target_command.h"
#include "LibStatement/statement_answer.h"

namespace kingcupmill {

// The parts that several messages between proxies share, as JSON values. What
// reads them throws json::exception on anything that the writers do not write;
// DecodePeerBytes() turns that into an error.

nlohmann::json ToJson(const std::optional<LogPoint>& point);
std::optional<LogPoint> PointFromJson(const nlohmann::json& value);

nlohmann::json ToJson(const TargetCommand& command);
TargetCommand CommandFromJson(const nlohmann::json& value);

nlohmann::json ToJson(const StatementAnswer& answer);
StatementAnswer StatementAnswerFromJson(const nlohmann::json& value);

// Fails on a number that is no value of an enum whose last value is `last`.
template <typename Enum>
Enum EnumFromJson(const nlohmann::json& value, Enum last) {
  const int number = value.get<int>();
  if (number < 0 || number > static_cast<int>(last))
    throw nlohmann::json::other_error::create(501, "unknown value", &value);
  return static_cast<Enum>(number);
}

}  // namespace kingcupmill

#endif  // LIBPEER_PEER_JSON_H_
