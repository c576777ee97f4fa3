// Documents as they travel between nodes: compressed, in base64. A
// configuration of a thousand routes is a few hundred kilobytes of much the
// same words, and a node's link may be ten megabits a second.
#ifndef CONFIGURATION_PACKED_DOCUMENT_CACHE_H_
#define CONFIGURATION_PACKED_DOCUMENT_CACHE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/documents.h"

namespace chestnutport::configuration {

std::string PackDocument(std::string_view text);
// Nothing if it was not packed so, or is larger than any configuration.
std::optional<std::string> UnpackDocument(std::string_view packed);

// Packs each document once, however many nodes ask for it.
class PackedDocumentCache {
 public:
  // The packed form of `text`, whose hash is `hash`.
  const std::string& Pack(const std::string& hash, std::string_view text);
  // Forgets what `documents` does not hold any more.
  void RetainOnly(const Documents& documents);

  size_t size() const { return packed_.size(); }

 private:
  std::map<std::string, std::string, std::less<>> packed_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_PACKED_DOCUMENT_CACHE_H_
