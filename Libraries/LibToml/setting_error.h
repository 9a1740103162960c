#ifndef LIBTOML_SETTING_ERROR_H_
#define LIBTOML_SETTING_ERROR_H_

#include <cstdint>
#include <span>
#include <string>

namespace kingcupmill {

// A line of a TOML file, counted from 1.
struct SourceLocation {
  std::string file;
  uint32_t line = 0;
};

// One error in settings or declarations.
struct SettingError {
  SourceLocation location;
  // The dotted path of the key.
  std::string key;
  std::string message;
};

// Formats each error as one line, "file:line: key: message".
inline std::string FormatErrors(std::span<const SettingError> errors) {
  std::string text;
  for (const SettingError& error : errors) {
    text += error.location.file + ":" + std::to_string(error.location.line) +
            ": " + error.key + ": " + error.message + "\n";
  }
  return text;
}

}  // namespace kingcupmill

#endif  // LIBTOML_SETTING_ERROR_H_
