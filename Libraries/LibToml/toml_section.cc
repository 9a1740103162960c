#include "LibToml/toml_section.h"

#include <stdexcept>
#include <tuple>
#include <utility>

// toml++ asserts that some malformed documents do not occur. A failed assertion
// is reported like any other syntax error.
[[noreturn]] static void FailParserAssertion() {
  throw std::logic_error("the document is malformed");
}
#define TOML_ASSERT(expression) \
  static_cast<void>((expression) || (FailParserAssertion(), false))
#include <toml++/toml.h>

namespace kingcupmill {

namespace {

// Returns the line of the first non-ASCII character outside of strings and
// comments, or 0. TOML 1.0 allows none there, and toml++ looks some of them
// up in tables that do not cover them, which is undefined behavior.
uint32_t FindNonAsciiOutsideStrings(std::string_view text) {
  constexpr unsigned char kFirstNonAscii = 0x80;
  constexpr char kOutside = 0;
  // The character that ends the current string or comment, or kOutside.
  char end = kOutside;
  uint32_t line = 1;
  for (size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (character == '\n')
      ++line;
    if (end == '"' && character == '\\') {
      ++index;
    } else if (end != kOutside) {
      end = character == end ? kOutside : end;
    } else if (character == '"' || character == '\'') {
      end = character;
    } else if (character == '#') {
      end = '\n';
    } else if (static_cast<unsigned char>(character) >= kFirstNonAscii) {
      return line;
    }
  }
  return 0;
}

// Returns the first line at which an assertion of the parser fails.
uint32_t FindMalformedLine(std::string_view text) {
  uint32_t line = 1;
  for (size_t end = text.find('\n'); end != std::string_view::npos;
       end = text.find('\n', end + 1)) {
    try {
      std::ignore = toml::parse(text.substr(0, end + 1));
    } catch (const toml::parse_error&) {
      // The error may be that the document ends here.
    } catch (const std::logic_error&) {
      return line;
    }
    ++line;
  }
  return line;
}

}  // namespace

// Refers to one table and keeps the whole document alive.
struct TomlSection::Node {
  std::shared_ptr<const toml::table> document;
  const toml::table* table;
  std::string file;
};

TomlSection::TomlSection(std::shared_ptr<const Node> node,
                         std::string path,
                         std::vector<SettingError>& errors)
    : node(std::move(node)), path(std::move(path)), errors(&errors) {}

TomlSection TomlSection::Parse(std::string_view text,
                               const std::string& file,
                               std::vector<SettingError>& errors) {
  auto document = std::make_shared<toml::table>();
  const uint32_t non_ascii_line = FindNonAsciiOutsideStrings(text);
  try {
    if (non_ascii_line == 0)
      *document = toml::parse(text);
    else
      errors.push_back({{file, non_ascii_line},
                        "(syntax)",
                        "a character that is not ASCII stands outside of "
                        "strings and comments"});
  } catch (const toml::parse_error& error) {
    errors.push_back({{file, error.source().begin.line},
                      "(syntax)",
                      std::string(error.description())});
  } catch (const std::logic_error& error) {
    errors.push_back(
        {{file, FindMalformedLine(text)}, "(syntax)", error.what()});
  }
  auto node = std::make_shared<Node>();
  node->table = document.get();
  node->document = std::move(document);
  node->file = file;
  return TomlSection(std::move(node), "", errors);
}

std::string TomlSection::RequiredString(std::string_view key) {
  if (!this->node->table->contains(key)) {
    this->read_keys.emplace(key);
    this->AddError(key, "is missing");
    return {};
  }
  std::string value = this->String(key, "");
  const auto* present = this->node->table->get(key);
  if (value.empty() && present->is_string())
    this->AddError(key, "is empty");
  return value;
}

std::string TomlSection::String(std::string_view key,
                                std::string_view fallback) {
  this->read_keys.emplace(key);
  const auto* value = this->node->table->get(key);
  if (!value)
    return std::string(fallback);
  if (const auto* text = value->as_string())
    return text->get();
  this->AddError(key, "is not a string");
  return std::string(fallback);
}

int64_t TomlSection::Integer(std::string_view key,
                             int64_t fallback,
                             Range range) {
  this->read_keys.emplace(key);
  const auto* value = this->node->table->get(key);
  if (!value)
    return fallback;
  const auto* integer = value->as_integer();
  if (!integer) {
    this->AddError(key, "is not a whole number");
    return fallback;
  }
  if (integer->get() < range.minimum || integer->get() > range.maximum) {
    this->AddError(key, "is not between " + std::to_string(range.minimum) +
                            " and " + std::to_string(range.maximum));
    return fallback;
  }
  return integer->get();
}

Duration TomlSection::DurationInMilliseconds(std::string_view key,
                                             Duration fallback,
                                             Range range) {
  return Milliseconds(this->Integer(key, ToMilliseconds(fallback), range));
}

std::vector<std::string> TomlSection::Strings(std::string_view key) {
  this->read_keys.emplace(key);
  std::vector<std::string> texts;
  const auto* value = this->node->table->get(key);
  if (!value)
    return texts;
  const auto* array = value->as_array();
  if (!array) {
    this->AddError(key, "is not an array of strings");
    return texts;
  }
  for (const auto& element : *array) {
    if (const auto* text = element.as_string())
      texts.push_back(text->get());
    else
      this->AddError(key, "contains an element that is not a string");
  }
  return texts;
}

std::vector<TomlSection> TomlSection::Sections(std::string_view key) {
  this->read_keys.emplace(key);
  std::vector<TomlSection> sections;
  const auto* value = this->node->table->get(key);
  if (!value)
    return sections;
  const auto* array = value->as_array();
  if (!array || !array->is_array_of_tables()) {
    this->AddError(key, "is not an array of tables");
    return sections;
  }
  for (const auto& element : *array) {
    auto child = std::make_shared<Node>(*this->node);
    child->table = element.as_table();
    sections.push_back(
        TomlSection(std::move(child), this->PathOf(key), *this->errors));
  }
  return sections;
}

TomlSection TomlSection::Section(std::string_view key) {
  this->read_keys.emplace(key);
  static const toml::table kEmptyTable;
  auto child = std::make_shared<Node>(*this->node);
  child->table = &kEmptyTable;
  if (const auto* value = this->node->table->get(key)) {
    if (const auto* table = value->as_table())
      child->table = table;
    else
      this->AddError(key, "is not a table");
  }
  return TomlSection(std::move(child), this->PathOf(key), *this->errors);
}

void TomlSection::RejectUnknownKeys() {
  for (const auto& [key, value] : *this->node->table) {
    if (!this->read_keys.contains(std::string_view(key.str())))
      this->AddError(key.str(), "is not a known key");
  }
}

void TomlSection::AddError(std::string_view key, std::string message) {
  this->errors->push_back(
      {this->LocationOf(key), this->PathOf(key), std::move(message)});
}

SourceLocation TomlSection::location() const {
  return {this->node->file, this->node->table->source().begin.line};
}

SourceLocation TomlSection::LocationOf(std::string_view key) const {
  const auto* value = this->node->table->get(key);
  if (!value)
    return this->location();
  return {this->node->file, value->source().begin.line};
}

std::string TomlSection::PathOf(std::string_view key) const {
  if (this->path.empty())
    return std::string(key);
  return this->path + "." + std::string(key);
}

}  // namespace kingcupmill
