#ifndef LIBARRANGEMENT_DECLARATION_FOLDER_H_
#define LIBARRANGEMENT_DECLARATION_FOLDER_H_

#include <string>
#include <vector>

#include "LibArrangement/arrangement_parser.h"
#include "LibCore/error.h"

namespace kingcupmill {

// Reads every .toml file of a folder, in the order of their names. Fails with
// kNotFound when the folder cannot be read or has no such file.
Result<std::vector<DeclarationFile>> ReadDeclarationFolder(
    const std::string& folder);

// Reads one file. Fails with kNotFound when it cannot be read.
Result<std::string> ReadWholeFile(const std::string& path);

}  // namespace kingcupmill

#endif  // LIBARRANGEMENT_DECLARATION_FOLDER_H_
