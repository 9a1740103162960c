#ifndef LIBARRANGEMENT_ARRANGEMENT_PARSER_H_
#define LIBARRANGEMENT_ARRANGEMENT_PARSER_H_

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibArrangement/arrangement.h"
#include "LibToml/setting_error.h"

namespace kingcupmill {

class TomlSection;

// The name and contents of one TOML file of declarations.
struct DeclarationFile {
  std::string name;
  std::string text;
};

// Parses an arrangement from TOML files and validates it, including references
// between files.
class ArrangementParser {
 public:
  // Returns the arrangement and appends every error to `errors`. The
  // arrangement may be used only if there was none.
  static Arrangement Parse(std::span<const DeclarationFile> files,
                           std::vector<SettingError>& errors);

 private:
  explicit ArrangementParser(std::vector<SettingError>& errors);

  void ParseFile(const DeclarationFile& file);
  void ParsePlace(TomlSection& section);
  void ParseGroup(TomlSection& section);
  void ParseTarget(TomlSection& section);
  void ParseApplication(TomlSection& section);
  // Parses the name of an object and rejects a duplicate of the same kind.
  std::string ParseName(TomlSection& section, std::string_view kind);

  void CheckReferences();
  void CheckGroup(const GroupName& name, const Group& group);
  void CheckTargets();
  void CheckApplications();
  void AddError(std::string_view kind,
                const std::string& name,
                std::string_view key,
                std::string message);

  std::vector<SettingError>& errors;
  Arrangement arrangement;
  // The source location of each object, keyed by "kind name".
  std::map<std::string, SourceLocation, std::less<>> locations;
};

// Serializes an arrangement as a TOML text that parses to an equal arrangement.
// Equal arrangements give equal texts.
std::string WriteArrangement(const Arrangement& arrangement);

// Returns the XXH3 128-bit digest of a text as 32 hexadecimal digits.
std::string DigestOfText(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBARRANGEMENT_ARRANGEMENT_PARSER_H_
