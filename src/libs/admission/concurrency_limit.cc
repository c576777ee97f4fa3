#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

constexpr double kStep = 0.6;        // Of the limit in a trial.
constexpr double kDecision = 0.5;    // Of the change if all is queueing.
constexpr double kSuspicious = 1.4;  // Service time to the reference.
constexpr int kSamplesForEach = 5;   // In a window, for each of the limit.
constexpr double kRelieved = 0.9;    // The same, the other way.
constexpr int kUpPause = 2;          // The first pause after a failed trial.
constexpr int kLongestUpPause = 16;  // It doubles up to this.
constexpr double kRecentGain = 0.05;
constexpr double kReferenceGain = 0.25;
constexpr double kColdShare = 0.25;  // Of the slots at a cold start.
constexpr std::chrono::milliseconds kIdle(500);
constexpr std::chrono::milliseconds kIdleStep(50);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : slots_(std::max(1, slots)),
      limit_(slots_),
      up_trial_interval_(kUpPause),
      mean_service_time_(kRecentGain) {}

void ConcurrencyLimit::SetSlots(int slots) {
  slots = std::max(1, slots);
  if (slots == slots_)
    return;
  // What was found of fewer slots is found again if it still holds.
  slots_ = slots;
  limit_ = slots;
  trial_ = Trial::kNone;
  window_count_ = 0;
  window_sum_ = 0;
}

void ConcurrencyLimit::StartWarmUp(Instant now) {
  const Duration ramp = warm_up_time_;
  *this = ConcurrencyLimit(slots_);
  changed_at_ = now;
  warm_up_started_at_ = now;
  warm_up_time_ = ramp;
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
  const int usual = trial_ == Trial::kUp ? limit_before_ : limit_;
  if (++window_count_ < kSamplesForEach * usual)
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
  windows_until_up_trial_ = kUpPause;
  Change(std::min(limit_, in_flight - 1), now);
}

int ConcurrencyLimit::Limit(Instant now) const {
  if (now >= warm_up_started_at_ + warm_up_time_)
    return limit_;
  const double warm =
      Seconds(now - warm_up_started_at_) / Seconds(warm_up_time_);
  const double share = kColdShare + (1 - kColdShare) * std::max(0.0, warm);
  return std::max(1, std::min(limit_, static_cast<int>(slots_ * share)));
}

Duration ConcurrencyLimit::service_time() const {
  return std::chrono::duration_cast<Duration>(
      Seconds(mean_service_time_.mean()));
}

void ConcurrencyLimit::EndWindow(double mean, Instant now) {
  const bool suspicious = reference_ > 0 && mean > kSuspicious * reference_;
  const bool relieved = mean < kRelieved * reference_;
  reference_ = reference_ == 0 || suspicious
                   ? mean
                   : reference_ + kReferenceGain * (mean - reference_);
  mean_before_ = mean;
  windows_until_up_trial_ = relieved ? 0 : windows_until_up_trial_ - 1;
  const int lower = static_cast<int>(limit_ * kStep);
  if (lower >= 1 && suspicious)
    Begin(Trial::kDown, lower, now);
  else if (limit_ < slots_ && windows_until_up_trial_ <= 0)
    Begin(Trial::kUp, static_cast<int>(std::ceil(limit_ / kStep)), now);
}

void ConcurrencyLimit::EndTrial(double mean, Instant now) {
  const double change = static_cast<double>(limit_) / limit_before_ - 1;
  const bool waits_inside =
      trial_ == Trial::kUp ? mean > mean_before_ * (1 + kDecision * change)
                           : mean < mean_before_ * (1 + kDecision * change);
  const Trial trial = std::exchange(trial_, Trial::kNone);
  const bool keep = (trial == Trial::kDown) == waits_inside;
  if (keep) {
    mean_before_ = mean;
    reference_ = mean;
    if (trial == Trial::kUp && limit_ < slots_)
      Begin(trial, static_cast<int>(std::ceil(limit_ / kStep)), now);
    else if (trial == Trial::kDown && limit_ > 1)
      Begin(trial, std::max(1, static_cast<int>(limit_ * kStep)), now);
    up_trial_interval_ = kUpPause;
    windows_until_up_trial_ = up_trial_interval_;
    return;
  }
  Change(limit_before_, now);
  if (trial == Trial::kUp) {
    windows_until_up_trial_ = up_trial_interval_;
    up_trial_interval_ = std::min(2 * up_trial_interval_, kLongestUpPause);
  }
}

void ConcurrencyLimit::Begin(Trial trial, int limit, Instant now) {
  trial_ = trial;
  limit_before_ = limit_;
  Change(limit, now);
}

void ConcurrencyLimit::Change(int limit, Instant now) {
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
  Change(limit_ + 1, now);
}

}  // namespace chestnutport::admission
