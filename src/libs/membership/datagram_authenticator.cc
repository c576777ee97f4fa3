#include "membership/datagram_authenticator.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <utility>

#include "base/encoding.h"

namespace chestnutport::membership {

DatagramAuthenticator::DatagramAuthenticator(const std::string& fleet,
                                             std::string key,
                                             std::string previous_key)
    : prefix_(fleet + '\0'),
      key_(std::move(key)),
      previous_key_(std::move(previous_key)) {}

std::string DatagramAuthenticator::Sign(std::string_view message) const {
  std::string datagram = Tag(key_, message);
  datagram += message;
  return datagram;
}

std::optional<std::string_view> DatagramAuthenticator::Verify(
    std::string_view datagram) const {
  if (datagram.size() <= kTagSize)
    return std::nullopt;
  const std::string_view tag = datagram.substr(0, kTagSize);
  const std::string_view message = datagram.substr(kTagSize);
  if (base::EqualInConstantTime(tag, Tag(key_, message)))
    return message;
  if (!previous_key_.empty() &&
      base::EqualInConstantTime(tag, Tag(previous_key_, message))) {
    return message;
  }
  return std::nullopt;
}

std::string DatagramAuthenticator::Tag(const std::string& key,
                                       std::string_view message) const {
  std::string signed_text = prefix_;
  signed_text += message;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(signed_text.data()),
       signed_text.size(), digest, &size);
  return std::string(reinterpret_cast<const char*>(digest), kTagSize);
}

}  // namespace chestnutport::membership
