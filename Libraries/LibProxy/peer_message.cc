#include "LibProxy/peer_message.h"

#include <nlohmann/json.hpp>

#include "LibCore/cbor.h"
#include "LibRequests/client_codec.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

// The first element of each encoded message. The values are part of the wire
// protocol.
enum class MessageType : uint64_t {
  kForward = 1,
  kAnswer = 2,
  kHeartbeat = 3,
  kFetch = 4,
  kArrangement = 5,
};

json Encode(MessageType type, uint64_t number) {
  return json::array({static_cast<uint64_t>(type), number});
}

json EncodeBody(const ForwardMessage& message) {
  json encoded = Encode(MessageType::kForward, message.number);
  encoded.push_back(EncodeClientRequest(message.request));
  return encoded;
}

json EncodeBody(const AnswerMessage& message) {
  json encoded = Encode(MessageType::kAnswer, message.number);
  encoded.push_back(EncodeClientAnswer(message.answer));
  return encoded;
}

void AppendRevision(json& encoded, const RevisionName& revision) {
  encoded.push_back(revision.revision.value);
  encoded.push_back(revision.digest);
}

// Decodes a revision from the two elements that start at `index`.
RevisionName DecodeRevision(const json& encoded, size_t index) {
  return RevisionName{Revision{encoded.at(index).get<uint64_t>()},
                      encoded.at(index + 1).get<std::string>()};
}

json EncodeBody(const HeartbeatMessage& message) {
  json encoded = Encode(MessageType::kHeartbeat, message.number);
  AppendRevision(encoded, message.revision);
  encoded.push_back(message.sender.value);
  encoded.push_back(message.is_answer);
  return encoded;
}

json EncodeBody(const FetchMessage& message) {
  return Encode(MessageType::kFetch, message.number);
}

json EncodeBody(const ArrangementMessage& message) {
  json encoded = Encode(MessageType::kArrangement, message.number);
  AppendRevision(encoded, message.revision);
  encoded.push_back(message.text);
  json members = json::array();
  for (const Member& member : message.members) {
    members.push_back({member.vm.value, member.place.value, member.peer_address,
                       member.state == VmState::kLeaving});
  }
  encoded.push_back(std::move(members));
  return encoded;
}

HeartbeatMessage DecodeHeartbeat(uint64_t number, const json& encoded) {
  HeartbeatMessage message;
  message.number = number;
  message.revision = DecodeRevision(encoded, 2);
  encoded.at(4).get_to(message.sender.value);
  encoded.at(5).get_to(message.is_answer);
  return message;
}

ArrangementMessage DecodeArrangement(uint64_t number, const json& encoded) {
  ArrangementMessage message;
  message.number = number;
  message.revision = DecodeRevision(encoded, 2);
  encoded.at(4).get_to(message.text);
  for (const json& item : encoded.at(5)) {
    Member member;
    item.at(0).get_to(member.vm.value);
    item.at(1).get_to(member.place.value);
    item.at(2).get_to(member.peer_address);
    member.state = item.at(3).get<bool>() ? VmState::kLeaving : VmState::kLive;
    message.members.push_back(std::move(member));
  }
  return message;
}

Result<PeerMessage> DecodeBody(const json& encoded) {
  const auto number = encoded.at(1).get<uint64_t>();
  switch (static_cast<MessageType>(encoded.at(0).get<uint64_t>())) {
    case MessageType::kForward: {
      KINGCUPMILL_TRY(request, DecodeClientRequest(encoded.at(2)));
      return PeerMessage(ForwardMessage{number, std::move(request)});
    }
    case MessageType::kAnswer: {
      KINGCUPMILL_TRY(answer, DecodeClientAnswer(encoded.at(2)));
      return PeerMessage(AnswerMessage{number, std::move(answer)});
    }
    case MessageType::kHeartbeat:
      return PeerMessage(DecodeHeartbeat(number, encoded));
    case MessageType::kFetch:
      return PeerMessage(FetchMessage{number});
    case MessageType::kArrangement:
      return PeerMessage(DecodeArrangement(number, encoded));
  }
  return Fail(ErrorCode::kInvalidInput, "unknown message type");
}

}  // namespace

std::vector<uint8_t> EncodePeerMessage(const PeerMessage& message) {
  return json::to_cbor(std::visit(
      [](const auto& concrete) { return EncodeBody(concrete); }, message));
}

Result<PeerMessage> DecodePeerMessage(std::span<const uint8_t> bytes) {
  KINGCUPMILL_TRY(message, DecodeCbor(bytes));
  try {
    return DecodeBody(message);
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace kingcupmill
