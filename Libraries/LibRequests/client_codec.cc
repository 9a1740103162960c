#include "LibRequests/client_codec.h"

#include <nlohmann/json.hpp>

#include "LibRequests/client_answer.h"
#include "LibRequests/client_request.h"
#include "LibSql/sql_json.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

json EncodePoint(const std::optional<LogPoint>& point) {
  if (!point)
    return nullptr;
  return json::array({point->term.value, point->position.value});
}

std::optional<LogPoint> DecodePoint(const json& value) {
  if (value.is_null())
    return std::nullopt;
  return LogPoint{Term{value.at(0).get<uint64_t>()},
                  Position{value.at(1).get<uint64_t>()}};
}

// Throws json::exception when the number is greater than `last`.
template <typename Enum>
Enum DecodeEnum(const json& value, Enum last) {
  const auto number = value.get<uint64_t>();
  if (number > static_cast<uint64_t>(last))
    throw json::out_of_range::create(401, "enumerator out of range", &value);
  return static_cast<Enum>(number);
}

}  // namespace

json EncodeClientRequest(const ClientRequest& request) {
  const json age =
      request.maximum_age ? json(request.maximum_age->count()) : json(nullptr);
  return json::array(
      {static_cast<int>(request.operation), request.application.value,
       request.group.value, static_cast<int>(request.priority),
       request.statement, request.request_id.value,
       static_cast<int>(request.repeatability), request.time_left.count(), age,
       EncodePoint(request.session_point), request.transaction.value});
}

Result<ClientRequest> DecodeClientRequest(const json& value) {
  try {
    ClientRequest request;
    request.operation = DecodeEnum(value.at(0), ClientOperation::kGetOutcome);
    value.at(1).get_to(request.application.value);
    value.at(2).get_to(request.group.value);
    request.priority = DecodeEnum(value.at(3), Priority::kOrdinary);
    value.at(4).get_to(request.statement);
    value.at(5).get_to(request.request_id.value);
    request.repeatability = DecodeEnum(value.at(6), Repeatability::kRepeatable);
    request.time_left = Duration(value.at(7).get<int64_t>());
    if (!value.at(8).is_null())
      request.maximum_age = Duration(value.at(8).get<int64_t>());
    request.session_point = DecodePoint(value.at(9));
    value.at(10).get_to(request.transaction.value);
    return request;
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

json EncodeClientAnswer(const ClientAnswer& answer) {
  return json::array(
      {static_cast<int>(answer.outcome), static_cast<int>(answer.error),
       answer.message, answer.result, EncodePoint(answer.point),
       answer.request_id.value, answer.transaction.value, answer.target.value,
       answer.is_from_primary, answer.is_replayed, answer.retry_after.count()});
}

Result<ClientAnswer> DecodeClientAnswer(const json& value) {
  try {
    ClientAnswer answer;
    answer.outcome = DecodeEnum(value.at(0), Outcome::kUnknown);
    answer.error = DecodeEnum(value.at(1), ClientError::kOutcomeUnknown);
    value.at(2).get_to(answer.message);
    value.at(3).get_to(answer.result);
    answer.point = DecodePoint(value.at(4));
    value.at(5).get_to(answer.request_id.value);
    value.at(6).get_to(answer.transaction.value);
    value.at(7).get_to(answer.target.value);
    value.at(8).get_to(answer.is_from_primary);
    value.at(9).get_to(answer.is_replayed);
    answer.retry_after = Duration(value.at(10).get<int64_t>());
    return answer;
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace kingcupmill
