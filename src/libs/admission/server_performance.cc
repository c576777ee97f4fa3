#include "admission/server_performance.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

// Validity of a slowness report. Slow periods last about 300 ms; after half of
// that, a report is as likely to be wrong as right.
constexpr Duration kReportValidity = std::chrono::milliseconds(150);
// Slowness from which a server is degraded. At twice the usual service time
// most answers still meet their target, which is about three times the mean;
// slow periods reach four times.
constexpr double kDegradedSlowness = 1.8;
// Slowness assumed after a probe time-out: that of a usual slow period.
constexpr double kTimeoutSlowness = 4;
// Smoothing factor of the failure share: about five results reveal a faulty
// server.
constexpr double kResultWeight = 0.2;
// Failure share from which a server is faulty. Healthy servers fail a few
// requests in a hundred; faulty ones a third or more.
constexpr double kFaultyShare = 0.3;
// Bounds the strain of a server that fails all requests: it may have recovered.
constexpr double kMaxFailureShare = 0.95;
// Half-life of the failure share: a faulty server without further results is
// tried again after about this time.
constexpr Seconds kFailureHalfLife(1.0);

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
  OnSlowness(std::max(Slowness(now), kTimeoutSlowness), now);
}

double ServerPerformance::Slowness(Instant now) const {
  return now - slowness_at_ <= kReportValidity ? slowness_ : 1;
}

std::optional<Duration> ServerPerformance::SlownessAge(Instant now) const {
  if (slowness_at_ == Instant())
    return std::nullopt;
  return now - slowness_at_;
}

double ServerPerformance::FailureShare(Instant now) const {
  return failures_ *
         std::exp2(-(Seconds(now - failures_at_) / kFailureHalfLife));
}

double ServerPerformance::Strain(Instant now) const {
  return Slowness(now) / (1 - std::min(FailureShare(now), kMaxFailureShare));
}

std::optional<double> ServerPerformance::KnownStrain(Instant now) const {
  const std::optional<Duration> age = SlownessAge(now);
  const bool has_result = failures_at_ != Instant();
  const bool is_known = age ? *age <= kReportValidity : has_result;
  if (!is_known)
    return std::nullopt;
  return Strain(now);
}

bool ServerPerformance::IsDegraded(Instant now, double usual_strain) const {
  const double strain = Strain(now) / usual_strain;
  return strain >= kDegradedSlowness || (FailureShare(now) >= kFaultyShare &&
                                         strain >= 1 / (1 - kFaultyShare));
}

}  // namespace chestnutport::admission
