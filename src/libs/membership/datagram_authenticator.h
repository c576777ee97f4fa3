// Shows that a datagram comes from a node of this fleet: a 128-bit tag of
// HMAC-SHA-256 over the fleet's name and the message.
#ifndef MEMBERSHIP_DATAGRAM_AUTHENTICATOR_H_
#define MEMBERSHIP_DATAGRAM_AUTHENTICATOR_H_

#include <optional>
#include <string>
#include <string_view>

namespace chestnutport::membership {

class DatagramAuthenticator {
 public:
  static constexpr size_t kTagSize = 16;

  // `previous_key` is only accepted; empty: none.
  DatagramAuthenticator(const std::string& fleet,
                        std::string key,
                        std::string previous_key);

  // The tag followed by `message`.
  std::string Sign(std::string_view message) const;
  // The message in `datagram`; none unless its tag is right.
  std::optional<std::string_view> Verify(std::string_view datagram) const;

 private:
  std::string Tag(const std::string& key, std::string_view message) const;

  std::string prefix_;
  std::string key_;
  std::string previous_key_;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_DATAGRAM_AUTHENTICATOR_H_
