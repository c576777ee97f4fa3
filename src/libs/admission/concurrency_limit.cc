#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

// Factor on the limit in a downward trial, divisor in an upward trial.
constexpr double kTrialFactor = 0.6;
// If requests queue inside the server, the service time changes in proportion
// to the limit. This share of that change confirms the queueing.
constexpr double kQueueingThreshold = 0.5;
// Ratio of the service time to the reference that starts a downward trial.
constexpr double kCongestedRatio = 1.4;
// Samples per window for each unit of the limit.
constexpr int kSamplesPerSlot = 5;
// Ratio of the service time to the reference that starts an upward trial.
constexpr double kRelievedRatio = 0.9;
// Windows between a kept change of the limit and the next upward trial; doubles
// after each failed one.
constexpr int kUpTrialInterval = 2;
constexpr int kMaxUpTrialInterval = 16;
// Smoothing factors of the mean service time and of the reference.
constexpr double kRecentGain = 0.05;
constexpr double kReferenceGain = 0.25;
constexpr double kWarmUpShare = 0.25;  // Share of the slots at a server start.
// Once no request has been at the limit for kIdle, the limit rises by one every
// kIdleStep.
constexpr std::chrono::milliseconds kIdle(500);
constexpr std::chrono::milliseconds kIdleStep(50);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : slots_(std::max(1, slots)),
      limit_(slots_),
      up_trial_interval_(kUpTrialInterval),
      mean_service_time_(kRecentGain) {}

void ConcurrencyLimit::SetSlots(int slots) {
  slots = std::max(1, slots);
  if (slots == slots_)
    return;
  // A limit below the old number of slots is found again if it still applies.
  slots_ = slots;
  limit_ = slots;
  trial_ = Trial::kNone;
  window_count_ = 0;
  window_sum_ = 0;
}

void ConcurrencyLimit::StartWarmUp(Instant now) {
  const Duration warm_up_time = warm_up_time_;
  *this = ConcurrencyLimit(slots_);
  changed_at_ = now;
  warm_up_started_at_ = now;
  warm_up_time_ = warm_up_time;
}

void ConcurrencyLimit::OnServed(Instant started,
                                Duration service_time,
                                bool at_limit,
                                Instant now) {
  const double seconds = Seconds(service_time).count();
  mean_service_time_.Add(seconds);
  if (!at_limit) {
    RaiseWhileIdle(now);
    return;
  }
  last_at_limit_ = now;
  if (started < changed_at_ || Limit(now) < limit_)
    return;
  window_sum_ += seconds;
  const int stable_limit = trial_ == Trial::kUp ? limit_before_ : limit_;
  if (++window_count_ < kSamplesPerSlot * stable_limit)
    return;
  const double mean = window_sum_ / window_count_;
  window_sum_ = 0;
  window_count_ = 0;
  if (trial_ == Trial::kNone)
    EndWindow(mean, now);
  else
    EndTrial(mean, now);
}

void ConcurrencyLimit::OnShed(int in_flight, Instant now) {
  trial_ = Trial::kNone;
  windows_until_up_trial_ = kUpTrialInterval;
  ChangeLimit(std::min(limit_, in_flight - 1), now);
}

int ConcurrencyLimit::Limit(Instant now) const {
  if (now >= warm_up_started_at_ + warm_up_time_)
    return limit_;
  const double progress =
      Seconds(now - warm_up_started_at_) / Seconds(warm_up_time_);
  const double share =
      kWarmUpShare + (1 - kWarmUpShare) * std::max(0.0, progress);
  return std::max(1, std::min(limit_, static_cast<int>(slots_ * share)));
}

Duration ConcurrencyLimit::service_time() const {
  return std::chrono::duration_cast<Duration>(
      Seconds(mean_service_time_.mean()));
}

void ConcurrencyLimit::EndWindow(double mean, Instant now) {
  const bool is_congested =
      reference_ > 0 && mean > kCongestedRatio * reference_;
  const bool is_relieved = mean < kRelievedRatio * reference_;
  reference_ = reference_ == 0 || is_congested
                   ? mean
                   : reference_ + kReferenceGain * (mean - reference_);
  mean_before_ = mean;
  windows_until_up_trial_ = is_relieved ? 0 : windows_until_up_trial_ - 1;
  const int lower = static_cast<int>(limit_ * kTrialFactor);
  if (lower >= 1 && is_congested)
    BeginTrial(Trial::kDown, lower, now);
  else if (limit_ < slots_ && windows_until_up_trial_ <= 0)
    BeginTrial(Trial::kUp, static_cast<int>(std::ceil(limit_ / kTrialFactor)),
               now);
}

void ConcurrencyLimit::EndTrial(double mean, Instant now) {
  const double change = static_cast<double>(limit_) / limit_before_ - 1;
  const bool is_queueing_in_server =
      trial_ == Trial::kUp
          ? mean > mean_before_ * (1 + kQueueingThreshold * change)
          : mean < mean_before_ * (1 + kQueueingThreshold * change);
  const Trial trial = std::exchange(trial_, Trial::kNone);
  const bool keep = (trial == Trial::kDown) == is_queueing_in_server;
  if (keep) {
    mean_before_ = mean;
    reference_ = mean;
    if (trial == Trial::kUp && limit_ < slots_)
      BeginTrial(trial, static_cast<int>(std::ceil(limit_ / kTrialFactor)),
                 now);
    else if (trial == Trial::kDown && limit_ > 1)
      BeginTrial(trial, std::max(1, static_cast<int>(limit_ * kTrialFactor)),
                 now);
    up_trial_interval_ = kUpTrialInterval;
    windows_until_up_trial_ = up_trial_interval_;
    return;
  }
  ChangeLimit(limit_before_, now);
  if (trial == Trial::kUp) {
    windows_until_up_trial_ = up_trial_interval_;
    up_trial_interval_ = std::min(2 * up_trial_interval_, kMaxUpTrialInterval);
  }
}

void ConcurrencyLimit::BeginTrial(Trial trial, int limit, Instant now) {
  trial_ = trial;
  limit_before_ = limit_;
  ChangeLimit(limit, now);
}

void ConcurrencyLimit::ChangeLimit(int limit, Instant now) {
  limit_ = std::clamp(limit, 1, slots_);
  changed_at_ = now;
  window_sum_ = 0;
  window_count_ = 0;
}

void ConcurrencyLimit::RaiseWhileIdle(Instant now) {
  if (limit_ == slots_ || now < last_at_limit_ + kIdle ||
      now < changed_at_ + kIdleStep) {
    return;
  }
  trial_ = Trial::kNone;
  ChangeLimit(limit_ + 1, now);
}

}  // namespace chestnutport::admission
