#include "declarations/key_digest.h"

#include <openssl/evp.h>

#include "base/text.h"

namespace chestnutport::declarations {
namespace {

constexpr size_t kDigitsPerByte = 2;
constexpr int kHexadecimal = 16;

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  KeyDigest digest;
  unsigned int size = 0;
  EVP_Digest(key.data(), key.size(), digest.bytes_.data(), &size, EVP_sha256(),
             nullptr);
  return digest;
}

std::optional<KeyDigest> KeyDigest::FromHex(std::string_view text) {
  KeyDigest digest;
  if (text.size() != kSize * kDigitsPerByte)
    return std::nullopt;
  for (size_t i = 0; i < kSize; ++i) {
    const auto digits = text.substr(i * kDigitsPerByte, kDigitsPerByte);
    if (!base::ParseNumber(digits, &digest.bytes_[i], kHexadecimal))
      return std::nullopt;
  }
  return digest;
}

}  // namespace chestnutport::declarations
