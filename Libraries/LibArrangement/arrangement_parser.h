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

// One file of declarations.
struct DeclarationFile {
  std::string name;
  std::string text;
};

// Reads an arrangement from TOML files and checks it as a whole.
class ArrangementParser {
 public:
  // Returns the arrangement; it may be used only when `errors` stays empty.
  static Arrangement Parse(std::span<const DeclarationFile> files,
                           std::vector<SettingError>& errors);

 private:
  explicit ArrangementParser(std::vector<SettingError>& errors);

  void ReadFile(const DeclarationFile& file);
  void ReadPlace(TomlSection& section);
  void ReadGroup(TomlSection& section);
  void ReadTarget(TomlSection& section);
  void ReadApplication(TomlSection& section);
  // Reads the name of an object and rejects a second one of its kind.
  std::string ReadName(TomlSection& section, std::string_view kind);

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
  // Where each object was declared, by "kind name".
  std::map<std::string, SourceLocation, std::less<>> locations;
};

// Writes an arrangement as one TOML text that reads back as an equal one. Equal
// arrangements give equal texts.
std::string WriteArrangement(const Arrangement& arrangement);

// Returns the digest of a published text, as 32 hexadecimal digits.
std::string DigestOfText(std::string_view text);

}  // namespace kingcupmill

#endif  // LIBARRANGEMENT_ARRANGEMENT_PARSER_H_
