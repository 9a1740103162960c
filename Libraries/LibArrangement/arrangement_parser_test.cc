#include "LibArrangement/arrangement_parser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace kingcupmill {

namespace {

const char* const kWhole = R"(
[[place]]
name = "accra-a"
region = "gh-south"
[[group]]
name = "restock-1"
service = "restock-db"
targets = ["t1", "t2", "t3"]
[[target]]
name = "t1"
place = "accra-a"
address = "127.0.0.1:1"
[[target]]
name = "t2"
place = "accra-a"
address = "127.0.0.1:2"
[[target]]
name = "t3"
place = "accra-a"
address = "127.0.0.1:3"
[[application]]
name = "shop"
class = "urgent"
groups = ["restock-1"]
)";

std::vector<SettingError> ErrorsOf(const std::string& text) {
  std::vector<SettingError> errors;
  const DeclarationFile file{"a.toml", text};
  ArrangementParser::Parse(std::span(&file, 1), errors);
  return errors;
}

std::string Replace(std::string text, const char* from, const char* to) {
  const size_t position = text.find(from);
  return text.replace(position, std::string(from).size(), to);
}

bool has_message(const std::vector<SettingError>& errors, const char* part) {
  return std::any_of(errors.begin(), errors.end(), [&](const auto& error) {
    return error.message.find(part) != std::string::npos &&
           error.location.line > 0;
  });
}

}  // namespace

TEST_CASE("Declarations are checked as a whole") {
  CHECK(ErrorsOf(kWhole).empty());

  SUBCASE("and read back equal from their published text") {
    std::vector<SettingError> errors;
    const DeclarationFile file{"a.toml", kWhole};
    const Arrangement arrangement =
        ArrangementParser::Parse(std::span(&file, 1), errors);
    const DeclarationFile written{"w", WriteArrangement(arrangement)};
    CHECK(ArrangementParser::Parse(std::span(&written, 1), errors) ==
          arrangement);
    CHECK(errors.empty());
  }
  SUBCASE("a dangling reference") {
    CHECK(has_message(ErrorsOf(Replace(kWhole, "\"accra-a\"\naddress",
                                       "\"nowhere\"\naddress")),
                      "not declared"));
  }
  SUBCASE("a group without a majority to spare") {
    CHECK(has_message(ErrorsOf(Replace(kWhole, ", \"t3\"]", "]")),
                      "fewer than 3"));
  }
  SUBCASE("a name that is declared twice names the first place") {
    CHECK(
        has_message(ErrorsOf(Replace(kWhole, "name = \"t2\"", "name = \"t1\"")),
                    "declared twice, first at a.toml:9"));
  }
  SUBCASE("an application that grants nothing") {
    CHECK(has_message(
        ErrorsOf(Replace(kWhole, "groups = [\"restock-1\"]", "groups = []")),
        "grants no group"));
  }
  SUBCASE("two targets on one address") {
    CHECK(has_message(ErrorsOf(Replace(kWhole, "0.1:2", "0.1:1")),
                      "same address"));
  }
  SUBCASE("an unknown key") {
    const auto errors = ErrorsOf(Replace(kWhole, "region", "regoin"));
    CHECK(has_message(errors, "not a known key"));
    CHECK(has_message(errors, "is missing"));
  }
  SUBCASE("a budget that cannot be met") {
    CHECK(has_message(ErrorsOf(Replace(kWhole, "address = \"127.0.0.1:1\"",
                                       "address = \"127.0.0.1:1\"\n"
                                       "connections = 2")),
                      "not between 4"));
  }
  SUBCASE("other scripts belong in strings and comments only") {
    CHECK(ErrorsOf(Replace(kWhole, "gh-south\"", "ไทย\" # ชื่อ \"")).empty());
    CHECK(
        has_message(ErrorsOf(std::string(kWhole) + "\nชื่อ = 1\n"), "not ASCII"));
  }
  SUBCASE("any text gives errors or an arrangement, never an end") {
    CHECK(rc::check([](std::string text) {
      ErrorsOf(text);
      ErrorsOf(kWhole + text);
    }));
  }
}

}  // namespace kingcupmill
