#include "LibProxy/peer_message.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "LibTarget/target_codec.h"
#include "LibTarget/target_request.h"
#include "LibTarget/target_response.h"

namespace kingcupmill {

namespace {

// Flips a few random bits and truncates or extends the message.
std::vector<uint8_t> Corrupt(std::vector<uint8_t> bytes) {
  const auto flips = *rc::gen::inRange(1, 6);
  for (int flip = 0; flip < flips; ++flip) {
    const auto index = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[index] ^= static_cast<uint8_t>(1U << *rc::gen::inRange(0U, 8U));
  }
  bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 8));
  return bytes;
}

// Passes `bytes` to all decoders, which must return a message or an error for
// any input.
void RunAllDecoders(const std::vector<uint8_t>& bytes) {
  (void)Capture([&] { return DecodePeerMessage(bytes); });
  (void)Capture([&] { return DecodeTargetRequest(bytes); });
  (void)Capture([&] { return DecodeTargetResponse(bytes); });
}

ForwardMessage MakeForward() {
  ForwardMessage message;
  message.number = 7;
  message.request.operation = ClientOperation::kWrite;
  message.request.application.value = "shop-orders";
  message.request.group.value = "restock-1";
  message.request.statement = {"INSERT INTO t VALUES (?, ?)",
                               {int64_t{1}, std::string("momo")}};
  message.request.maximum_age = std::chrono::seconds(1);
  message.request.session_point = LogPoint{Term{2}, Position{3}};
  return message;
}

}  // namespace

TEST_CASE("Decoders of proxy and target messages handle any input") {
  SUBCASE("a forwarded request decodes to an equal one") {
    const ForwardMessage sent = MakeForward();
    const auto bytes = EncodePeerMessage(sent);
    auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
    const auto& received =
        std::get<ForwardMessage>(std::get<PeerMessage>(decoded));
    CHECK(received.number == sent.number);
    CHECK(received.request.statement == sent.request.statement);
    CHECK(received.request.maximum_age == sent.request.maximum_age);
    CHECK(received.request.session_point == sent.request.session_point);
  }
  SUBCASE("random bytes") {
    CHECK(rc::check(
        [](const std::vector<uint8_t>& bytes) { RunAllDecoders(bytes); }));
  }
  SUBCASE("corrupted messages") {
    TargetRequest request;
    request.statements = {{"SELECT ?", {1.5}}};
    TargetResponse response;
    response.results.push_back({{"a"}, {{int64_t{1}}, {std::monostate()}}, 0});
    CHECK(rc::check([&] {
      RunAllDecoders(Corrupt(EncodePeerMessage(MakeForward())));
      RunAllDecoders(Corrupt(EncodePeerMessage(
          ArrangementMessage{1, {Revision{2}, "d"}, "text", {Member{}}})));
      RunAllDecoders(Corrupt(EncodeTargetRequest(request)));
      RunAllDecoders(Corrupt(EncodeTargetResponse(response)));
    }));
  }
}

}  // namespace kingcupmill
