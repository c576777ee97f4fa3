#include "base/request_fingerprint.h"

#include "absl/strings/str_format.h"
#include "base/part_hash.h"
#include "base/text.h"

namespace chestnutport::base {

RequestFingerprint RequestFingerprint::Of(const RequestContent& content) {
  return {HashParts({content.tenant, content.method, content.host,
                     content.target, content.body})};
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
