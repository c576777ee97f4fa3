#include "configuration/documents.h"

#include <set>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "base/text.h"

namespace chestnutport::configuration {
namespace {

// Hexadecimal digits: 160 bits, which makes collisions negligible.
constexpr size_t kHashLength = 40;

}  // namespace

using declarations::DeclarationTexts;

std::string DocumentHash(std::string_view text) {
  return base::Digest(text).substr(0, kHashLength);
}

Manifest MakeManifest(const DeclarationTexts& texts) {
  Manifest manifest;
  for (const auto& [service, text] : texts)
    manifest[service] = DocumentHash(text);
  return manifest;
}

Documents MakeDocuments(const DeclarationTexts& texts) {
  Documents documents;
  for (const auto& [service, text] : texts)
    documents[DocumentHash(text)] = text;
  return documents;
}

std::vector<std::string> MissingDocuments(const Manifest& manifest,
                                          const Documents& documents) {
  std::set<std::string> missing;
  for (const auto& [service, hash] : manifest) {
    if (!documents.contains(hash))
      missing.insert(hash);
  }
  return {missing.begin(), missing.end()};
}

std::optional<DeclarationTexts> Assemble(const Manifest& manifest,
                                         const Documents& documents) {
  DeclarationTexts texts;
  for (const auto& [service, hash] : manifest) {
    const auto found = documents.find(hash);
    if (found == documents.end())
      return std::nullopt;
    texts[service] = found->second;
  }
  return texts;
}

std::string DocumentKey(std::string_view fleet, std::string_view hash) {
  return absl::StrCat("chestnutport/", base::AbslView(fleet), "/documents/",
                      base::AbslView(hash));
}

}  // namespace chestnutport::configuration
