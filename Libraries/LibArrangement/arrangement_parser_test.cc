#include "LibArrangement/arrangement_parser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace kingcupmill {

namespace {

const char* const kValidDeclarations = R"(
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

TEST_CASE("Declarations are validated together") {
  CHECK(ErrorsOf(kValidDeclarations).empty());

  SUBCASE("the serialized text parses to an equal arrangement") {
    std::vector<SettingError> errors;
    const DeclarationFile file{"a.toml", kValidDeclarations};
    const Arrangement arrangement =
        ArrangementParser::Parse(std::span(&file, 1), errors);
    const DeclarationFile written{"w", WriteArrangement(arrangement)};
    CHECK(ArrangementParser::Parse(std::span(&written, 1), errors) ==
          arrangement);
    CHECK(errors.empty());
  }
  // Guards against a document that ends the process, since the parser asserts
  // that it does not occur.
  SUBCASE("a table header that is cut short") {
    CHECK(has_message(ErrorsOf("[\n"), "malformed"));
    CHECK(ErrorsOf("a = 1\n[\nb = 2\n").front().location.line == 2);
    CHECK(has_message(ErrorsOf("a = 1\n[\x01"), "malformed"));
  }
  SUBCASE("a reference to an undeclared place") {
    CHECK(
        has_message(ErrorsOf(Replace(kValidDeclarations, "\"accra-a\"\naddress",
                                     "\"nowhere\"\naddress")),
                    "not declared"));
  }
  SUBCASE("a group that loses its majority with one target") {
    CHECK(has_message(ErrorsOf(Replace(kValidDeclarations, ", \"t3\"]", "]")),
                      "fewer than 3"));
  }
  SUBCASE("a duplicate name is reported with its first location") {
    CHECK(has_message(
        ErrorsOf(Replace(kValidDeclarations, "name = \"t2\"", "name = \"t1\"")),
        "declared twice, first at a.toml:9"));
  }
  SUBCASE("an application without a group") {
    CHECK(has_message(
        ErrorsOf(Replace(kValidDeclarations, "groups = [\"restock-1\"]",
                         "groups = []")),
        "grants no group"));
  }
  SUBCASE("two targets with the same address") {
    CHECK(has_message(ErrorsOf(Replace(kValidDeclarations, "0.1:2", "0.1:1")),
                      "same address"));
  }
  SUBCASE("a port out of range") {
    for (const char* address : {"0.0.1:65536\"", "0.0.1:0\"", "0.0.1:\""})
      CHECK(has_message(
          ErrorsOf(Replace(kValidDeclarations, "0.0.1:2\"", address)),
          "IP:port"));
  }
  SUBCASE("an unknown key") {
    const auto errors =
        ErrorsOf(Replace(kValidDeclarations, "region", "regoin"));
    CHECK(has_message(errors, "not a known key"));
    CHECK(has_message(errors, "is missing"));
  }
  SUBCASE("a connection budget below the minimum") {
    CHECK(has_message(
        ErrorsOf(Replace(kValidDeclarations, "address = \"127.0.0.1:1\"",
                         "address = \"127.0.0.1:1\"\n"
                         "connections = 2")),
        "not between 4"));
  }
  SUBCASE("non-ASCII letters are allowed only in strings and comments") {
    CHECK(ErrorsOf(Replace(kValidDeclarations, "gh-south\"", "ไทย\" # ชื่อ \""))
              .empty());
    CHECK(has_message(ErrorsOf(std::string(kValidDeclarations) + "\nชื่อ = 1\n"),
                      "not ASCII"));
  }
  SUBCASE("any text gives errors or an arrangement, never a crash") {
    CHECK(rc::check([](std::string text) {
      ErrorsOf(text);
      ErrorsOf(kValidDeclarations + text);
    }));
  }
}

}  // namespace kingcupmill
