#include "LibSession/token_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kingcupmill {

namespace {

TokenCodec MakeCodec(std::string key) {
  auto codec = Capture([&] { return TokenCodec::Create(std::move(key)); });
  return std::get<TokenCodec>(std::move(codec));
}

bool is_accepted(const TokenCodec& codec, std::string_view text) {
  auto decoded = Capture([&] { return codec.Decode(text); });
  return std::holds_alternative<SessionToken>(decoded);
}

}  // namespace

TEST_CASE("Session tokens can be decoded again and cannot be forged") {
  const TokenCodec codec = MakeCodec("sixteen bytes or more");

  SUBCASE("a decoded token equals the encoded one") {
    CHECK(rc::check([&](uint64_t term, uint64_t position, bool has_second) {
      SessionToken token;
      token.points[GroupName{"restock-1"}] =
          LogPoint{Term{term}, Position{position}};
      if (has_second)
        token.points[GroupName{"registry-2"}] = LogPoint{};
      auto decoded = Capture([&] { return codec.Decode(codec.Encode(token)); });
      RC_ASSERT(std::get<SessionToken>(decoded) == token);
    }));
  }
  SUBCASE("a token with a changed byte is rejected") {
    SessionToken token;
    token.points[GroupName{"restock-1"}] = LogPoint{Term{3}, Position{77}};
    const std::string text = codec.Encode(token);
    CHECK(rc::check([&] {
      std::string forged = text;
      const auto index = *rc::gen::inRange<size_t>(0, forged.size());
      const auto bit = *rc::gen::inRange(0, 7);
      forged[index] = static_cast<char>(forged[index] ^ (1 << bit));
      RC_ASSERT(!is_accepted(codec, forged));
    }));
  }
  SUBCASE("a token that was signed with another key is rejected") {
    CHECK_FALSE(is_accepted(
        codec, MakeCodec("another key, long enough").Encode(SessionToken{})));
  }
  SUBCASE("random bytes are rejected") {
    CHECK(rc::check([&](const std::string& text) {
      RC_ASSERT(!is_accepted(codec, text));
    }));
  }
  SUBCASE("a key that is too short is rejected") {
    auto made = Capture([] { return TokenCodec::Create("short"); });
    CHECK(std::holds_alternative<Error>(made));
  }
}

}  // namespace kingcupmill
