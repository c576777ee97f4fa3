// Authenticates datagrams between nodes of one fleet with a 128-bit tag: a
// truncated HMAC-SHA-256 over the name of the fleet and the message.
#ifndef MEMBERSHIP_DATAGRAM_AUTHENTICATOR_H_
#define MEMBERSHIP_DATAGRAM_AUTHENTICATOR_H_

#include <optional>
#include <string>
#include <string_view>

namespace chestnutport::membership {

class DatagramAuthenticator {
 public:
  static constexpr size_t kTagSize = 16;

  // `previous_key` is accepted but never used for signing; it may be empty.
  DatagramAuthenticator(const std::string& fleet,
                        std::string key,
                        std::string previous_key);

  // Returns the tag followed by `message`.
  std::string Sign(std::string_view message) const;
  // Returns the message in `datagram`, or nothing if its tag is wrong.
  std::optional<std::string_view> Verify(std::string_view datagram) const;

 private:
  std::string Tag(const std::string& key, std::string_view message) const;

  std::string prefix_;
  std::string key_;
  std::string previous_key_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_DATAGRAM_AUTHENTICATOR_H_
