#include "wire/server_notice.h"

#include <cmath>

#include "base/text.h"

namespace chestnutport::wire {
namespace {

constexpr std::string_view kYes = "1";

}  // namespace

ServerNotice ServerNotice::Parse(std::string_view rate_limit,
                                 std::string_view leaving) {
  ServerNotice notice;
  notice.is_leaving = base::Trim(leaving) == kYes;
  const std::string_view number = base::Trim(rate_limit);
  if (number.empty())
    return notice;
  double rate = 0;
  if (base::ParseNumber(number, &rate) && std::isfinite(rate) && rate >= 0)
    notice.rate_limit = rate;
  else
    notice.is_rate_limit_invalid = true;
  return notice;
}

}  // namespace chestnutport::wire
