#include "admission/cold_start_limiter.h"

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
ColdStartOptions WithMargin(const ColdStartOptions& declared) {
  ColdStartOptions kept = declared;
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

void ColdStartLimiter::set_options(const ColdStartOptions& options) {
  options_ = WithMargin(options);
  tokens_ = std::min(tokens_, std::max(1.0, options_.burst));
}

void ColdStartLimiter::OnServerStarted(Instant now) {
  cold_until_ = now + options_.after_start;
  reported_at_ = {};
  is_assumed_ = true;
  tokens_ = std::max(1.0, options_.burst);
  tokens_updated_at_ = now;
}

void ColdStartLimiter::OnReported(Duration remaining, Instant reported_at) {
  if (reported_at < reported_at_)
    return;
  reported_at_ = reported_at;
  is_assumed_ = false;
  cold_until_ = reported_at + std::max(remaining, Duration());
}

void ColdStartLimiter::OnHealthyWithoutReport(Instant now) {
  if (is_assumed_)
    OnReported({}, now);
}

void ColdStartLimiter::AssumeCold(Instant now) {
  if (!IsCold(now))
    is_assumed_ = true;
  reported_at_ = now;
  cold_until_ = std::max<Instant>(cold_until_, now + kDoubt);
}

bool ColdStartLimiter::IsCold(Instant now) const {
  return now < cold_until_;
}

bool ColdStartLimiter::IsLimited(Instant now) const {
  return options_.rate > 0 && IsCold(now);
}

bool ColdStartLimiter::IsOverRateLimit(Instant now) const {
  return IsLimited(now) && TokensAt(now) < 0;
}

double ColdStartLimiter::TokensAt(Instant now) const {
  const double earned =
      Seconds(std::max<Duration>(now - tokens_updated_at_, Duration()))
          .count() *
      options_.rate;
  return std::min(tokens_ + earned, std::max(1.0, options_.burst));
}

double ColdStartLimiter::ReservedTokens(int rank) const {
  return std::max(0.0, options_.burst - 1) *
         std::clamp(rank, 0, kRankCount - 1) / kRankCount;
}

int ColdStartLimiter::LeastUrgentRankAllowed(Instant now) const {
  int rank = kRankCount - 1;
  while (rank >= 0 && !MayStart(rank, now))
    --rank;
  return rank;
}

Duration ColdStartLimiter::TimeUntilAllowed(double requests,
                                            int rank,
                                            Instant now) const {
  if (!IsLimited(now))
    return {};
  const double missing =
      requests + ReservedTokens(rank) - TokensAt(now) - kRounding;
  if (missing <= 0)
    return {};
  const auto wait =
      std::chrono::ceil<Duration>(Seconds(missing / options_.rate));
  // A warm server needs no token.
  return std::min<Duration>(wait, cold_until_ - now);
}

void ColdStartLimiter::ConsumeToken(Instant now) {
  if (options_.rate <= 0)
    return;
  // A warm server owes no more than the starts of one second, which are those
  // that count if it says now that it is cold.
  const double least = std::min(0.0, options_.burst - options_.rate);
  tokens_ = std::max(TokensAt(now) - 1, least);
  tokens_updated_at_ = now;
}

}  // namespace chestnutport::admission
