#include "LibTarget/target_codec.h"

#include <nlohmann/json.hpp>
#include <string>

#include "LibCore/cbor.h"
#include "LibSql/sql_json.h"
#include "LibTarget/target_request.h"
#include "LibTarget/target_response.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

template <typename Enum>
Result<Enum> DecodeEnum(const json& value, Enum last) {
  const auto number = value.get<uint64_t>();
  if (number > static_cast<uint64_t>(last))
    return Fail(ErrorCode::kInvalidInput, "enumerator out of range");
  return static_cast<Enum>(number);
}

json EncodePoint(const LogPoint& point) {
  return json::array({point.term.value, point.position.value});
}

LogPoint DecodePoint(const json& value) {
  return LogPoint{Term{value.at(0).get<uint64_t>()},
                  Position{value.at(1).get<uint64_t>()}};
}

json EncodeStatus(const TargetStatus& status) {
  return json::array({static_cast<int>(status.role), status.term.value,
                      EncodePoint(status.last_entry),
                      EncodePoint(status.confirmed), status.visible.value,
                      status.time_since_primary_contact.count()});
}

Result<TargetStatus> DecodeStatus(const json& value) {
  TargetStatus status;
  KINGCUPMILL_TRY_ASSIGN(status.role,
                         DecodeEnum(value.at(0), TargetRole::kPrimary));
  status.term.value = value.at(1).get<uint64_t>();
  status.last_entry = DecodePoint(value.at(2));
  status.confirmed = DecodePoint(value.at(3));
  status.visible.value = value.at(4).get<uint64_t>();
  status.time_since_primary_contact = Duration(value.at(5).get<int64_t>());
  return status;
}

// Runs `decode` on the parsed message and converts JSON exceptions to errors,
// because nlohmann::json reports type mismatches only by throwing.
template <typename T, typename Decode>
Result<T> DecodeMessage(std::span<const uint8_t> bytes, Decode&& decode) {
  KINGCUPMILL_TRY(message, DecodeCbor(bytes));
  try {
    return decode(message);
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace

std::vector<uint8_t> EncodeTargetRequest(const TargetRequest& request) {
  return json::to_cbor(json::array(
      {request.number, static_cast<int>(request.operation), request.term.value,
       request.statements, static_cast<int>(request.acknowledge),
       request.minimum_position.value, request.wait.count(),
       request.proposer}));
}

Result<TargetRequest> DecodeTargetRequest(std::span<const uint8_t> bytes) {
  return DecodeMessage<TargetRequest>(
      bytes, [](const json& message) -> Result<TargetRequest> {
        TargetRequest request;
        request.number = message.at(0).get<uint64_t>();
        KINGCUPMILL_TRY_ASSIGN(
            request.operation,
            DecodeEnum(message.at(1), TargetOperation::kHoldWrites));
        request.term.value = message.at(2).get<uint64_t>();
        message.at(3).get_to(request.statements);
        KINGCUPMILL_TRY_ASSIGN(
            request.acknowledge,
            DecodeEnum(message.at(4), Acknowledge::kMajority));
        request.minimum_position.value = message.at(5).get<uint64_t>();
        request.wait = Duration(message.at(6).get<int64_t>());
        message.at(7).get_to(request.proposer);
        return request;
      });
}

std::vector<uint8_t> EncodeTargetResponse(const TargetResponse& response) {
  return json::to_cbor(json::array(
      {response.number, static_cast<int>(response.error), response.message,
       response.failed_statement, response.results, EncodePoint(response.point),
       EncodeStatus(response.status)}));
}

Result<TargetResponse> DecodeTargetResponse(std::span<const uint8_t> bytes) {
  return DecodeMessage<TargetResponse>(
      bytes, [](const json& message) -> Result<TargetResponse> {
        TargetResponse response;
        response.number = message.at(0).get<uint64_t>();
        KINGCUPMILL_TRY_ASSIGN(
            response.error,
            DecodeEnum(message.at(1), TargetErrorCode::kMalformed));
        message.at(2).get_to(response.message);
        message.at(3).get_to(response.failed_statement);
        message.at(4).get_to(response.results);
        response.point = DecodePoint(message.at(5));
        KINGCUPMILL_TRY_ASSIGN(response.status, DecodeStatus(message.at(6)));
        return response;
      });
}

}  // namespace kingcupmill
