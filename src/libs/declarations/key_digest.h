// SHA-256 of a tenant's key. Keys themselves are kept only in the text of the
// configuration.
#ifndef DECLARATIONS_KEY_DIGEST_H_
#define DECLARATIONS_KEY_DIGEST_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace chestnutport::declarations {

class KeyDigest {
 public:
  static KeyDigest Of(std::string_view key);
  // Reads 64 hexadecimal digits; returns nothing for any other text.
  static std::optional<KeyDigest> FromHex(std::string_view text);

  friend bool operator==(const KeyDigest& a, const KeyDigest& b) = default;

  template <typename H>
  friend H AbslHashValue(H state, const KeyDigest& digest) {
    return H::combine(std::move(state), digest.bytes_);
  }

 private:
  static constexpr size_t kSize = 32;

  std::array<uint8_t, kSize> bytes_{};
};

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_KEY_DIGEST_H_
