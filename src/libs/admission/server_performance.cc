#include "admission/server_performance.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

// Spells of slowness last some 300 ms; half of that after it was said, the
// word is as likely to be wrong as right.
constexpr Duration kTrusted = std::chrono::milliseconds(150);
// Twice the usual time leaves an answer within its target as a rule, which is
// about three times the mean work; a spell is four times.
constexpr double kSlow = 1.8;
// What a probe without an answer says: the slowness of a usual spell.
constexpr double kSilentSlowness = 4;
// The weight of one result: some five are enough to tell a faulty server.
constexpr double kResultWeight = 0.2;
// Servers fail a few requests in a hundred on their own account; a faulty one
// fails a third or more.
constexpr double kFaulty = 0.3;
// A server that fails all its requests is not infinitely bad: it may be well
// again by now.
constexpr double kMostFailures = 0.95;
// Without further results a faulty server is tried again after about this.
constexpr Seconds kForgetting(1.0);

}  // namespace

void ServerPerformance::OnSlowness(double slowness, Instant now) {
  slowness_ = slowness;
  slowness_at_ = now;
}

void ServerPerformance::OnResult(bool is_good, Instant now) {
  const double before = FailureShare(now);
  failures_ = before + kResultWeight * ((is_good ? 0 : 1) - before);
  failures_at_ = now;
}

void ServerPerformance::OnProbeTimeout(Instant now) {
  OnSlowness(std::max(Slowness(now), kSilentSlowness), now);
}

double ServerPerformance::Slowness(Instant now) const {
  return now - slowness_at_ <= kTrusted ? slowness_ : 1;
}

std::optional<Duration> ServerPerformance::SlownessAge(Instant now) const {
  if (slowness_at_ == Instant())
    return std::nullopt;
  return now - slowness_at_;
}

double ServerPerformance::FailureShare(Instant now) const {
  return failures_ * std::exp2(-(Seconds(now - failures_at_) / kForgetting));
}

double ServerPerformance::Strain(Instant now) const {
  return Slowness(now) / (1 - std::min(FailureShare(now), kMostFailures));
}

std::optional<double> ServerPerformance::KnownStrain(Instant now) const {
  const std::optional<Duration> age = SlownessAge(now);
  const bool has_result = failures_at_ != Instant();
  const bool is_known = age ? *age <= kTrusted : has_result;
  if (!is_known)
    return std::nullopt;
  return Strain(now);
}

bool ServerPerformance::IsDegraded(Instant now, double usual_strain) const {
  const double strain = Strain(now) / usual_strain;
  return strain >= kSlow ||
         (FailureShare(now) >= kFaulty && strain >= 1 / (1 - kFaulty));
}

}  // namespace chestnutport::admission
