#include "LibCore/json_log.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

namespace kingcupmill {

TEST_CASE("Text escaped for JSON parses back to itself") {
  const auto parse_escaped = [](const std::string& text) {
    return nlohmann::json::parse("\"" + EscapeForJson(text) + "\"")
        .get<std::string>();
  };
  CHECK(parse_escaped("decision=x reason=\"a \\ b\"\n") ==
        "decision=x reason=\"a \\ b\"\n");
  CHECK(rc::check([&] {
    const auto text =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    RC_ASSERT(parse_escaped(text) == text);
  }));
}

}  // namespace kingcupmill
