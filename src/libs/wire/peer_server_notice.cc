#include "wire/peer_server_notice.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "base/text.h"

namespace chestnutport::wire {
namespace {

constexpr char kNone[] = "-";
constexpr size_t kWords = 3;

}  // namespace

std::string PeerServerNotice::ToHeader() const {
  if (instance.empty() || instance.find(' ') != std::string::npos)
    return "";
  const std::string rate =
      notice.rate_limit ? absl::StrCat(*notice.rate_limit) : kNone;
  return absl::StrCat(instance, " ", rate, " ", base::FormatDuration(age));
}

std::optional<PeerServerNotice> PeerServerNotice::FromHeader(
    std::string_view text) {
  const std::vector<std::string_view> words = base::Split(text, ' ');
  if (words.size() != kWords || words[0].empty())
    return std::nullopt;
  PeerServerNotice passed_on{.instance = std::string(words[0])};
  double rate = 0;
  const bool is_limited = words[1] != kNone;
  const auto age = base::ParseDuration(words[2]);
  if (!age || (is_limited && !base::ParseNumber(words[1], &rate)))
    return std::nullopt;
  if (is_limited)
    passed_on.notice.rate_limit = rate;
  passed_on.age = *age;
  return passed_on;
}

}  // namespace chestnutport::wire
