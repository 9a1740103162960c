#include "LibCore/json_log.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

namespace kingcupmill {

TEST_CASE("A log line in JSON keeps its message") {
  const auto read_back = [](const std::string& text) {
    return nlohmann::json::parse("\"" + EscapeForJson(text) + "\"")
        .get<std::string>();
  };
  CHECK(read_back("decision=x reason=\"a \\ b\"\n") ==
        "decision=x reason=\"a \\ b\"\n");
  CHECK(rc::check([&] {
    const auto text =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    RC_ASSERT(read_back(text) == text);
  }));
}

}  // namespace kingcupmill
