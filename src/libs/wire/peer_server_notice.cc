#include "wire/peer_server_notice.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "base/text.h"

namespace chestnutport::wire {
namespace {

constexpr std::string_view kNone = "-";
constexpr std::string_view kLeaving = "leaving";
constexpr std::string_view kStaying = "staying";

// The words of the header, in order.
enum Word : size_t { kInstance, kStartedAt, kRate, kState, kAge, kWordCount };

}  // namespace

bool PeerServerNotice::IsAbout(
    const std::string& other_instance,
    std::chrono::milliseconds other_started_at) const {
  const bool are_both_known =
      started_at.count() != 0 && other_started_at.count() != 0;
  return instance == other_instance &&
         (!are_both_known || started_at == other_started_at);
}

std::string PeerServerNotice::ToHeader() const {
  if (instance.empty() || instance.find(' ') != std::string::npos)
    return "";
  const std::string rate =
      notice.rate_limit ? absl::StrCat(*notice.rate_limit) : std::string(kNone);
  return absl::StrCat(instance, " ", started_at.count(), " ", rate, " ",
                      base::AbslView(notice.is_leaving ? kLeaving : kStaying),
                      " ", base::FormatDuration(age));
}

std::optional<PeerServerNotice> PeerServerNotice::FromHeader(
    std::string_view text) {
  const std::vector<std::string_view> words = base::Split(text, ' ');
  if (words.size() != kWordCount || words[kInstance].empty())
    return std::nullopt;
  PeerServerNotice passed_on{.instance = std::string(words[kInstance])};
  int64_t started_at = 0;
  double rate = 0;
  const bool is_limited = words[kRate] != kNone;
  const auto age = base::ParseDuration(words[kAge]);
  if (!age || !base::ParseNumber(words[kStartedAt], &started_at) ||
      (is_limited && !base::ParseNumber(words[kRate], &rate))) {
    return std::nullopt;
  }
  if (is_limited)
    passed_on.notice.rate_limit = rate;
  passed_on.notice.is_leaving = words[kState] == kLeaving;
  passed_on.started_at = std::chrono::milliseconds(started_at);
  passed_on.age = *age;
  return passed_on;
}

}  // namespace chestnutport::wire
