#include "LibCore/text.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>

namespace kingcupmill {

namespace {

// Whether the JSON library accepts `text`.
bool can_be_dumped(const std::string& text) {
  try {
    (void)nlohmann::json(text).dump();
    return true;
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

}  // namespace

TEST_CASE("texts that can be put into a message") {
  SUBCASE("as a word have neither blanks nor control characters") {
    for (const char* word : {"a", "edge-a-1", "127.0.0.1:80", "\xc3\xa9"})
      CHECK(is_printable_word(word));
    for (const char* text : {"", " ", "old rack/14", "a\r\nb", "a\tb", "\x7f"})
      CHECK_FALSE(is_printable_word(text));
  }

  SUBCASE("as JSON are valid UTF-8") {
    for (const char* text :
         {"", "a", "\xc3\xa9", "\xed\x9f\xbf", "\xee\x80\x80", "\xe2\x82\xac",
          "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf"})
      CHECK(is_utf8(text));
    for (const char* text :
         {"\xff", "\x80", "\xc3", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80",
          "\xf4\x90\x80\x80", "\xf0\x9f\x98", "a\xc3(", "\xf8\x88\x80\x80"})
      CHECK_FALSE(is_utf8(text));
    CHECK(rc::check("any bytes", [](const std::string& bytes) {
      RC_ASSERT(is_utf8(bytes) == can_be_dumped(bytes));
    }));
    CHECK(rc::check("any bytes of few kinds", [] {
      const auto text = *rc::gen::container<std::string>(
          rc::gen::element('a', '\x80', '\x8f', '\x9f', '\xa0', '\xbf', '\xc2',
                           '\xe0', '\xed', '\xef', '\xf0', '\xf4', '\xf5'));
      RC_ASSERT(is_utf8(text) == can_be_dumped(text));
    }));
  }
}

}  // namespace kingcupmill
