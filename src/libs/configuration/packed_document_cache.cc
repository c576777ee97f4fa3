#include "configuration/packed_document_cache.h"

#include <zlib.h>

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace chestnutport::configuration {
namespace {

// Largest unpacked document in bytes: several times the largest value that the
// platform's store accepts.
constexpr size_t kMaxDocumentBytes = 16 * 1024 * 1024;
// Separates the unpacked size from the encoded bytes.
constexpr char kSeparator = ':';

const Bytef* Bytes(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string PackDocument(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size, Bytes(text),
            text.size(), Z_BEST_SPEED);
  packed.resize(size);
  return absl::StrCat(text.size(), std::string(1, kSeparator),
                      absl::Base64Escape(packed));
}

std::optional<std::string> UnpackDocument(std::string_view packed) {
  const size_t separator = packed.find(kSeparator);
  if (separator == std::string_view::npos)
    return std::nullopt;
  size_t size = 0;
  std::string bytes;
  const std::string_view encoded = packed.substr(separator + 1);
  if (!absl::SimpleAtoi({packed.data(), separator}, &size) ||
      size > kMaxDocumentBytes ||
      !absl::Base64Unescape({encoded.data(), encoded.size()}, &bytes)) {
    return std::nullopt;
  }
  std::string text(size, '\0');
  uLongf unpacked = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(text.data()),
                                &unpacked, Bytes(bytes), bytes.size());
  if (result != Z_OK || unpacked != size)
    return std::nullopt;
  return text;
}

const std::string& PackedDocumentCache::Pack(const std::string& hash,
                                             std::string_view text) {
  auto& packed = packed_[hash];
  if (packed.empty())
    packed = PackDocument(text);
  return packed;
}

void PackedDocumentCache::RetainOnly(const Documents& documents) {
  std::erase_if(packed_, [&](const auto& item) {
    return !documents.contains(item.first);
  });
}

}  // namespace chestnutport::configuration
