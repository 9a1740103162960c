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

TEST_CASE("A session's token travels through callers unharmed") {
  const TokenCodec codec = MakeCodec("sixteen bytes or more");

  SUBCASE("any token reads back equal") {
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
  SUBCASE("a changed byte is refused") {
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
  SUBCASE("a token under another key is refused") {
    CHECK_FALSE(is_accepted(
        codec, MakeCodec("another key, long enough").Encode(SessionToken{})));
  }
  SUBCASE("random bytes are refused") {
    CHECK(rc::check([&](const std::string& text) {
      RC_ASSERT(!is_accepted(codec, text));
    }));
  }
  SUBCASE("a short key is refused") {
    auto made = Capture([] { return TokenCodec::Create("short"); });
    CHECK(std::holds_alternative<Error>(made));
  }
}

}  // namespace kingcupmill
