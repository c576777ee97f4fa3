#include "wire/server_notice.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/match.h"
#include "base/text.h"

namespace chestnutport::wire {
namespace {

constexpr std::string_view kYes = "1";
// Share of the larger rate by which similar rates may differ.
constexpr double kSimilarShare = 0.2;

void AddRateLimit(std::string_view text, ServerNotice& notice) {
  double rate = 0;
  const bool is_valid = base::ParseNumber(base::Trim(text), &rate) &&
                        std::isfinite(rate) && rate >= 0;
  if (is_valid)
    notice.rate_limit = std::min(rate, notice.rate_limit.value_or(rate));
  else
    notice.is_rate_limit_invalid = true;
}

}  // namespace

ServerNotice ServerNotice::Read(const net::HttpHeaders& headers,
                                std::string_view rate_limit_name,
                                std::string_view leaving_name) {
  ServerNotice notice;
  for (const net::HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name, base::AbslView(rate_limit_name)))
      AddRateLimit(header.value, notice);
    else if (absl::EqualsIgnoreCase(header.name, base::AbslView(leaving_name)))
      notice.is_leaving |= base::Trim(header.value) == kYes;
  }
  return notice;
}

bool AreSimilarRates(std::optional<double> one, std::optional<double> other) {
  if (!one || !other)
    return one.has_value() == other.has_value();
  return std::abs(*one - *other) <= kSimilarShare * std::max(*one, *other);
}

}  // namespace chestnutport::wire
