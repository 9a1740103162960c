#ifndef LIBARRANGEMENT_DECLARATION_FOLDER_H_
#define LIBARRANGEMENT_DECLARATION_FOLDER_H_

#include <string>
#include <vector>

#include "LibArrangement/arrangement_parser.h"
#include "LibCore/error.h"

namespace kingcupmill {

// Reads all .toml files of a folder, sorted by path. Fails with kNotFound if
// the folder cannot be read or has no .toml file, or if a file cannot be read.
Result<std::vector<DeclarationFile>> ReadDeclarationFolder(
    const std::string& folder);

// Returns the contents of a file. Fails with kNotFound if it cannot be read.
Result<std::string> ReadWholeFile(const std::string& path);

}  // namespace kingcupmill

#endif  // LIBARRANGEMENT_DECLARATION_FOLDER_H_
