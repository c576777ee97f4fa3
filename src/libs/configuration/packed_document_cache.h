// Documents as sent between nodes: compressed and base64-encoded. A
// configuration of a thousand routes is a few hundred kilobytes of repetitive
// text, and a node's link may be as slow as 10 Mbit/s.
#ifndef CONFIGURATION_PACKED_DOCUMENT_CACHE_H_
#define CONFIGURATION_PACKED_DOCUMENT_CACHE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/documents.h"

namespace chestnutport::configuration {

std::string PackDocument(std::string_view text);
// Returns nothing if `packed` is malformed or the document exceeds the size
// limit.
std::optional<std::string> UnpackDocument(std::string_view packed);

// Caches packed documents, so that each is packed once for all requests.
class PackedDocumentCache {
 public:
  // Returns the packed form of `text`, whose hash is `hash`.
  const std::string& Pack(const std::string& hash, std::string_view text);
  // Evicts the documents that are not in `documents`.
  void RetainOnly(const Documents& documents);

  size_t size() const { return packed_.size(); }

 private:
  std::map<std::string, std::string, std::less<>> packed_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_PACKED_DOCUMENT_CACHE_H_
