#include "LibCore/cbor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace kingcupmill {

using nlohmann::json;

TEST_CASE("CBOR values") {
  SUBCASE("are decoded as they were encoded") {
    const json value = {
        {"text", "a"},
        {"list", {1, -2, 2.5, true, nullptr, json::array({json::object()})}},
        {"bytes", json::binary({1, 2, 3})},
        {"empty", json::array()},
        {"large", uint64_t{1} << 63U}};
    CHECK(DecodeCbor(json::to_cbor(value)) == value);
    CHECK(DecodeCbor(json::to_cbor(json("text"))) == json("text"));
    CHECK(rc::check(
        "any list of texts", [](const std::vector<std::string>& texts) {
          RC_ASSERT(DecodeCbor(json::to_cbor(json(texts))) == json(texts));
        }));
  }

  SUBCASE("are errors if they are malformed") {
    for (const std::vector<uint8_t>& bytes :
         {std::vector<uint8_t>{}, {0x82, 0x01}, {0x61}, {0x01, 0x02}, {0xff}}) {
      const auto decoded = DecodeCbor(bytes);
      REQUIRE_FALSE(decoded.has_value());
      CHECK(decoded.error().code == ErrorCode::kInvalidInput);
      CHECK_FALSE(decoded.error().message.empty());
    }
    CHECK(rc::check("any bytes", [](const std::vector<uint8_t>& bytes) {
      // Must not throw; random bytes may happen to be a value.
      (void)DecodeCbor(bytes);
    }));
  }

  // Guards against bytes that overflow the stack.
  SUBCASE("are errors if they are nested too deeply") {
    constexpr size_t kLevels = 2'000'000;
    CHECK_FALSE(DecodeCbor(std::vector<uint8_t>(kLevels, 0x81)).has_value());
    std::vector<uint8_t> maps;
    for (size_t level = 0; level < kLevels; ++level)
      maps.insert(maps.end(), {0xa1, 0x60});
    CHECK_FALSE(DecodeCbor(maps).has_value());
  }
}

}  // namespace kingcupmill
