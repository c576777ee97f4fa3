#include "base/request_fingerprint.h"

#include "absl/strings/str_format.h"
#include "base/part_hash.h"
#include "base/text.h"

namespace chestnutport::base {

RequestFingerprint RequestFingerprint::Of(const RequestContent& content) {
  const std::string body_hash =
      content.body_hash == 0 ? "" : absl::StrFormat("%016x", content.body_hash);
  return {HashParts({content.tenant, content.method, content.host,
                     content.target, body_hash})};
}

std::optional<RequestFingerprint> RequestFingerprint::Parse(
    std::string_view text) {
  constexpr size_t kDigits = 16;
  constexpr int kHexadecimal = 16;
  RequestFingerprint fingerprint;
  if (text.size() != kDigits ||
      !ParseNumber(text, &fingerprint.value, kHexadecimal)) {
    return std::nullopt;
  }
  return fingerprint;
}

std::string RequestFingerprint::ToString() const {
  return absl::StrFormat("%016x", value);
}

}  // namespace chestnutport::base
