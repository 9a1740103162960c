#ifndef LIBTOML_TOML_SECTION_H_
#define LIBTOML_TOML_SECTION_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/time.h"
#include "LibToml/setting_error.h"

namespace kingcupmill {

// One table of a TOML file. The getters add an error to the document's list if
// a value is invalid and return the default instead, so that all errors of a
// file are reported at once.
class TomlSection {
 public:
  // The inclusive bounds of an integer setting.
  struct Range {
    int64_t minimum = 0;
    int64_t maximum = INT64_MAX;
  };

  // Parses `text`; `file` is the file name for errors. If `text` has a syntax
  // error, adds one error and returns an empty section.
  static TomlSection Parse(std::string_view text,
                           const std::string& file,
                           std::vector<SettingError>& errors);

  // Returns a string; adds an error if it is missing or empty.
  std::string RequiredString(std::string_view key);
  std::string String(std::string_view key, std::string_view fallback);
  int64_t Integer(std::string_view key, int64_t fallback, Range range);
  // Reads a whole number of milliseconds.
  Duration DurationInMilliseconds(std::string_view key,
                                  Duration fallback,
                                  Range range);
  // Returns the strings of an array; none when the key is missing.
  std::vector<std::string> Strings(std::string_view key);
  // Returns the tables of an array of tables; none when the key is missing.
  std::vector<TomlSection> Sections(std::string_view key);
  // Returns the table under `key`; an empty one when the key is missing.
  TomlSection Section(std::string_view key);

  // Adds an error for each key that was never read.
  void RejectUnknownKeys();

  // Adds an error at the line of `key`, or of the table if the key is missing.
  void AddError(std::string_view key, std::string message);

  SourceLocation location() const;
  // Returns the location of `key`, or of the table if the key is missing.
  SourceLocation LocationOf(std::string_view key) const;

 private:
  struct Node;
  TomlSection(std::shared_ptr<const Node> node,
              std::string path,
              std::vector<SettingError>& errors);
  std::string PathOf(std::string_view key) const;

  std::shared_ptr<const Node> node;
  std::string path;
  std::vector<SettingError>* errors;
  std::set<std::string, std::less<>> read_keys;
};

}  // namespace kingcupmill

#endif  // LIBTOML_TOML_SECTION_H_
