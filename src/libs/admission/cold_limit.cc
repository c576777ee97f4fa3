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
// A busy VM hands a request over so much later than it was decided, at most.
// What was decided in more than a second may then reach the server in one.
constexpr std::chrono::milliseconds kHandingOver{100};
// The health check that finds a server is sent before its gate counts.
constexpr double kUncounted = 1;
// A request more than this below a whole token is a matter of rounding.
constexpr double kRounding = 1e-6;
// Also a server that tolerates next to nothing is tried.
constexpr double kLeastRate = 0.5;

// What may be decided so that no second holds more than `declared` as the
// server counts.
ColdOptions WithMargin(const ColdOptions& declared) {
  ColdOptions kept = declared;
  const double late = Seconds(kHandingOver).count();
  kept.burst = declared.burst - kUncounted - declared.rate * late;
  if (kept.burst >= 1 || declared.rate <= 0)
    return kept;
  kept.burst = 1;
  const double in_a_second = declared.rate + declared.burst;
  kept.rate = std::max(kLeastRate, (in_a_second - kUncounted - 1) / (1 + late));
  return kept;
}

}  // namespace

void ColdLimit::set_options(const ColdOptions& options) {
  options_ = WithMargin(options);
  tokens_ = std::min(tokens_, std::max(1.0, options_.burst));
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

bool ColdLimit::IsOverRate(Instant now) const {
  return IsLimited(now) && TokensAt(now) < 0;
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
