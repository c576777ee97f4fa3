// Validates a set of declarations.
#ifndef DECLARATIONS_CHECKER_H_
#define DECLARATIONS_CHECKER_H_

#include <string>
#include <vector>

#include "declarations/configuration.h"
#include "settings/problem.h"

namespace chestnutport::declarations {

struct DeclarationFile {
  std::string file;  // File name, used in problem reports.
  std::string text;
};

// Reports all problems in the files, and conflicts between them, sorted by file
// and line. Returns the texts by service, which are valid only if `problems` is
// empty.
DeclarationTexts CheckDeclarations(const std::vector<DeclarationFile>& files,
                                   settings::Problems& problems);

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_CHECKER_H_
