// Reads a folder of declarations with one INI file per service.
#ifndef CHESTNUTPORT_DECLARATIONS_FOLDER_H_
#define CHESTNUTPORT_DECLARATIONS_FOLDER_H_

#include <string>

#include "declarations/configuration.h"
#include "settings/problem.h"

namespace chestnutport::cli {

// Reads and checks every .ini file in `folder`. The result is valid only if no
// problems were added to `problems`.
declarations::DeclarationTexts ReadFolder(const std::string& folder,
                                          settings::Problems& problems);

// Prints `problems` to standard error.
void PrintProblems(const settings::Problems& problems);

}  // namespace chestnutport::cli

#endif  // CHESTNUTPORT_DECLARATIONS_FOLDER_H_
