#include "LibProxy/peer_message.h"

#include <nlohmann/json.hpp>

#include "LibRequests/client_codec.h"

namespace kingcupmill {

using nlohmann::json;

namespace {

// The first element of each message; part of the protocol.
enum class MessageType : uint64_t {
  kForward = 1,
  kAnswer = 2,
  kPulse = 3,
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

json EncodeBody(const PulseMessage& message) {
  json encoded = Encode(MessageType::kPulse, message.number);
  encoded.push_back(message.sender.value);
  encoded.push_back(message.revision.value);
  encoded.push_back(message.is_answer);
  return encoded;
}

json EncodeBody(const FetchMessage& message) {
  json encoded = Encode(MessageType::kFetch, message.number);
  encoded.push_back(message.revision.value);
  return encoded;
}

json EncodeBody(const ArrangementMessage& message) {
  json encoded = Encode(MessageType::kArrangement, message.number);
  encoded.push_back(message.revision.value);
  encoded.push_back(message.text);
  return encoded;
}

Result<PeerMessage> DecodeBody(const json& encoded) {
  const auto number = encoded.at(1).get<uint64_t>();
  switch (static_cast<MessageType>(encoded.at(0).get<uint64_t>())) {
    case MessageType::kForward: {
      BOOST_LEAF_AUTO(request, DecodeClientRequest(encoded.at(2)));
      return PeerMessage(ForwardMessage{number, std::move(request)});
    }
    case MessageType::kAnswer: {
      BOOST_LEAF_AUTO(answer, DecodeClientAnswer(encoded.at(2)));
      return PeerMessage(AnswerMessage{number, std::move(answer)});
    }
    case MessageType::kPulse:
      return PeerMessage(PulseMessage{
          number, VmName{encoded.at(2).get<std::string>()},
          Revision{encoded.at(3).get<uint64_t>()}, encoded.at(4).get<bool>()});
    case MessageType::kFetch:
      return PeerMessage(
          FetchMessage{number, Revision{encoded.at(2).get<uint64_t>()}});
    case MessageType::kArrangement:
      return PeerMessage(
          ArrangementMessage{number, Revision{encoded.at(2).get<uint64_t>()},
                             encoded.at(3).get<std::string>()});
  }
  return Fail(ErrorCode::kInvalidInput, "unknown message type");
}

}  // namespace

std::vector<uint8_t> EncodePeerMessage(const PeerMessage& message) {
  return json::to_cbor(std::visit(
      [](const auto& concrete) { return EncodeBody(concrete); }, message));
}

Result<PeerMessage> DecodePeerMessage(std::span<const uint8_t> bytes) {
  try {
    return DecodeBody(json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception& exception) {
    return Fail(ErrorCode::kInvalidInput, exception.what());
  }
}

}  // namespace kingcupmill
