#include "admission/cold_limit.h"

#include <algorithm>

namespace chestnutport::admission {

using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

namespace {

// What a server in doubt is taken to stay cold for: its health check tells
// sooner, several times a second.
constexpr std::chrono::seconds kDoubt{3};
// A request more than this below a whole token is a matter of rounding.
constexpr double kRounding = 1e-6;

}  // namespace

void ColdLimit::set_options(const ColdOptions& options) {
  options_ = options;
  tokens_ = std::min(tokens_, std::max(1.0, options.burst));
}

void ColdLimit::OnServerStarted(Instant now) {
  cold_until_ = now + options_.after_start;
  told_at_ = {};
  is_assumed_ = true;
  tokens_ = std::max(1.0, options_.burst);
  counted_at_ = now;
}

void ColdLimit::OnTold(Duration remaining, Instant said_at) {
  if (said_at < told_at_)
    return;
  told_at_ = said_at;
  is_assumed_ = false;
  cold_until_ = said_at + std::max(remaining, Duration());
}

void ColdLimit::OnHealthyWithoutWord(Instant now) {
  if (is_assumed_)
    OnTold({}, now);
}

void ColdLimit::Doubt(Instant now) {
  if (!IsCold(now))
    is_assumed_ = true;
  told_at_ = now;
  cold_until_ = std::max<Instant>(cold_until_, now + kDoubt);
}

bool ColdLimit::IsCold(Instant now) const {
  return now < cold_until_;
}

bool ColdLimit::IsLimited(Instant now) const {
  return options_.rate > 0 && IsCold(now);
}

double ColdLimit::TokensAt(Instant now) const {
  const double earned =
      Seconds(std::max<Duration>(now - counted_at_, Duration())).count() *
      options_.rate;
  return std::min(tokens_ + earned, std::max(1.0, options_.burst));
}

double ColdLimit::Reserve(int rank) const {
  return std::max(0.0, options_.burst - 1) *
         std::clamp(rank, 0, kMostRanks - 1) / kMostRanks;
}

int ColdLimit::RankAllowed(Instant now) const {
  int rank = kMostRanks - 1;
  while (rank >= 0 && !MayStart(rank, now))
    --rank;
  return rank;
}

Duration ColdLimit::Wait(double requests, int rank, Instant now) const {
  if (!IsLimited(now))
    return {};
  const double missing = requests + Reserve(rank) - TokensAt(now) - kRounding;
  if (missing <= 0)
    return {};
  const auto wait =
      std::chrono::ceil<Duration>(Seconds(missing / options_.rate));
  // A warm server needs no token.
  return std::min<Duration>(wait, cold_until_ - now);
}

void ColdLimit::OnStarted(Instant now) {
  if (options_.rate <= 0)
    return;
  // A warm server owes no more than the starts of one second, which are those
  // that count if it says now that it is cold.
  const double least = std::min(0.0, options_.burst - options_.rate);
  tokens_ = std::max(TokensAt(now) - 1, least);
  counted_at_ = now;
}

}  // namespace chestnutport::admission
