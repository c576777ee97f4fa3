// Declarations as immutable documents, addressed by the hash of their content.
#ifndef CONFIGURATION_DOCUMENTS_H_
#define CONFIGURATION_DOCUMENTS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/head.h"
#include "declarations/configuration.h"

namespace chestnutport::configuration {

// Maps hashes to texts.
using Documents = std::map<std::string, std::string, std::less<>>;

std::string DocumentHash(std::string_view text);

Manifest MakeManifest(const declarations::DeclarationTexts& texts);
Documents MakeDocuments(const declarations::DeclarationTexts& texts);

// Returns the hashes in `manifest` that are missing in `documents`, without
// duplicates.
std::vector<std::string> MissingDocuments(const Manifest& manifest,
                                          const Documents& documents);

// Returns the declarations by service, or nothing if a document is missing.
std::optional<declarations::DeclarationTexts> Assemble(
    const Manifest& manifest,
    const Documents& documents);

// Returns the key of a document in the store.
std::string DocumentKey(std::string_view fleet, std::string_view hash);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_DOCUMENTS_H_
