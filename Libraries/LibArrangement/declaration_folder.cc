#include "LibArrangement/declaration_folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace kingcupmill {

Result<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream)
    return Fail(ErrorCode::kNotFound, "cannot read " + path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

Result<std::vector<DeclarationFile>> ReadDeclarationFolder(
    const std::string& folder) {
  std::error_code error;
  std::vector<std::string> paths;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (entry.path().extension() == ".toml")
      paths.push_back(entry.path().string());
  }
  if (error)
    return Fail(ErrorCode::kNotFound,
                "cannot read the folder " + folder + ": " + error.message());
  if (paths.empty())
    return Fail(ErrorCode::kNotFound,
                "the folder " + folder + " has no .toml file");
  std::sort(paths.begin(), paths.end());
  std::vector<DeclarationFile> files;
  for (const std::string& path : paths) {
    KINGCUPMILL_TRY(text, ReadWholeFile(path));
    files.push_back({path, std::move(text)});
  }
  return files;
}

}  // namespace kingcupmill
