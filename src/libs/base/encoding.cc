#include "base/encoding.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "base/text.h"

namespace chestnutport::base {
namespace {

std::string Hex(const unsigned char* bytes, unsigned int size) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(bytes), size));
}

}  // namespace

std::string KeyedDigest(std::string_view key, std::string_view message) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       digest, &size);
  return Hex(digest, size);
}

std::string Digest(std::string_view message) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(message.data(), message.size(), digest, &size, EVP_sha256(),
             nullptr);
  return Hex(digest, size);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  if (text == "0")
    return std::nullopt;
  absl::Duration duration;
  if (!absl::ParseDuration(AbslView(text), &duration))
    return std::nullopt;
  if (duration < absl::ZeroDuration() || duration > absl::Hours(24 * 366))
    return std::nullopt;
  return absl::ToChronoNanoseconds(duration);
}

std::string FormatDuration(Duration duration) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  if (us % 1000000 == 0)
    return absl::StrCat(us / 1000000, "s");
  if (us % 1000 == 0)
    return absl::StrCat(us / 1000, "ms");
  return absl::StrCat(us, "us");
}

}  // namespace chestnutport::base
