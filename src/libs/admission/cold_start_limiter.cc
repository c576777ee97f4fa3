#include "admission/cold_start_limiter.h"

#include <algorithm>

namespace chestnutport::admission {

using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

namespace {

// How long a server is assumed cold unless its health check, which runs several
// times a second, reports earlier.
constexpr std::chrono::seconds kAssumedColdTime{3};
// The longest delay between the start of a request and its arrival at the
// server on a busy VM. Requests that start within one second plus this delay
// may therefore arrive within one second.
constexpr std::chrono::milliseconds kMaxSendDelay{100};
// The health check that discovers a server is sent before its gate counts
// requests.
constexpr double kUncountedRequests = 1;
// Minimum rate, so that a server that tolerates almost nothing is still tried.
constexpr double kMinRate = 0.5;

// Reduces the declared limits so that no second, as counted by the server,
// holds more requests than declared.
ColdStartOptions WithMargin(const ColdStartOptions& declared) {
  ColdStartOptions kept = declared;
  const double max_delay = Seconds(kMaxSendDelay).count();
  kept.burst = declared.burst - kUncountedRequests - declared.rate * max_delay;
  if (kept.burst >= 1 || declared.rate <= 0)
    return kept;
  kept.burst = 1;
  const double max_per_second = declared.rate + declared.burst;
  kept.rate = std::max(
      kMinRate, (max_per_second - kUncountedRequests - 1) / (1 + max_delay));
  return kept;
}

}  // namespace

void ColdStartLimiter::set_options(const ColdStartOptions& options) {
  options_ = WithMargin(options);
  bucket_.Configure(options_.rate, options_.burst);
}

void ColdStartLimiter::OnServerStarted(Instant now) {
  cold_until_ = now + options_.after_start;
  reported_at_ = {};
  is_assumed_ = true;
  bucket_.Fill(now);
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
  cold_until_ = std::max<Instant>(cold_until_, now + kAssumedColdTime);
}

bool ColdStartLimiter::IsCold(Instant now) const {
  return now < cold_until_;
}

bool ColdStartLimiter::IsLimited(Instant now) const {
  return options_.rate > 0 && IsCold(now);
}

bool ColdStartLimiter::IsOverRateLimit(Instant now) const {
  return IsLimited(now) && bucket_.TokensAt(now) < 0;
}

Duration ColdStartLimiter::TimeUntilAllowed(double requests,
                                            int rank,
                                            Instant now) const {
  if (!IsLimited(now))
    return {};
  const Duration wait = bucket_.TimeUntilAllowed(requests, rank, now);
  // The wait ends with the cold state: a warm server needs no tokens.
  return std::min<Duration>(wait, cold_until_ - now);
}

void ColdStartLimiter::ConsumeToken(Instant now) {
  if (options_.rate <= 0)
    return;
  // The rate of a warm server is not limited, so the tokens may become
  // negative. This debt is limited to the requests of one second: they count if
  // the server now reports that it is cold.
  const double least = std::min(0.0, options_.burst - options_.rate);
  bucket_.Consume(least, now);
}

}  // namespace chestnutport::admission
