#include "LibPeer/peer_json.h"

#include <string>
#include <utility>

#include "LibCore/text.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

// Decodes a part of an answer, which becomes a part of a line.
std::string LinePartFromJson(const json& value) {
  auto text = value.get<std::string>();
  if (text.find("\r\n") != std::string::npos)
    throw json::other_error::create(501, "a line end in an answer", &value);
  return text;
}

}  // namespace

std::string NameFromJson(const json& value) {
  auto name = value.get<std::string>();
  if (!is_utf8(name))
    throw json::other_error::create(501, "a name is not valid UTF-8", &value);
  return name;
}

json ToJson(const std::optional<LogPoint>& point) {
  if (!point)
    return nullptr;
  return json::array({point->term.value, point->position.value});
}

std::optional<LogPoint> PointFromJson(const json& value) {
  if (value.is_null())
    return std::nullopt;
  return LogPoint{Term{value.at(0).get<uint64_t>()},
                  Position{value.at(1).get<uint64_t>()}};
}

json ToJson(const TargetCommand& command) {
  return json::array({static_cast<int>(command.kind), command.request_id,
                      ToJson(command.required_position), command.text,
                      command.name, command.value,
                      static_cast<int>(command.shape.access),
                      command.shape.shape, command.term.value});
}

TargetCommand CommandFromJson(const json& value) {
  TargetCommand command;
  command.kind = EnumFromJson(value.at(0), TargetCommandKind::kStepDown);
  command.request_id = value.at(1);
  command.required_position = PointFromJson(value.at(2));
  command.text = value.at(3);
  command.name = value.at(4);
  command.value = value.at(5);
  command.shape.access = EnumFromJson(value.at(6), StatementAccess::kWrite);
  command.shape.shape = value.at(7);
  command.term.value = value.at(8);
  return command;
}

json ToJson(const StatementAnswer& answer) {
  json error = nullptr;
  if (answer.error)
    error = json::array(
        {static_cast<int>(answer.error->code), answer.error->message});
  json report = nullptr;
  if (answer.report)
    report = json::array({answer.report->is_primary, answer.report->term.value,
                          ToJson(answer.report->received)});
  return json::array({answer.rows, answer.receipt, std::move(error),
                      static_cast<int>(answer.state), ToJson(answer.position),
                      std::move(report)});
}

StatementAnswer StatementAnswerFromJson(const json& value) {
  StatementAnswer answer;
  for (const json& row : value.at(0).get_ref<const json::array_t&>())
    answer.rows.push_back(LinePartFromJson(row));
  answer.receipt = LinePartFromJson(value.at(1));
  if (const json& error = value.at(2); !error.is_null())
    answer.error = StatementError{
        EnumFromJson(error.at(0), StatementErrorCode::kNotAuthorized),
        LinePartFromJson(error.at(1))};
  answer.state = EnumFromJson(value.at(3), SessionState::kFailedTransaction);
  answer.position = PointFromJson(value.at(4));
  if (const json& report = value.at(5); !report.is_null())
    answer.report =
        TargetReport{report.at(0), Term{report.at(1).get<uint64_t>()},
                     PointFromJson(report.at(2)).value_or(LogPoint{})};
  return answer;
}

}  // namespace kingcupmill
