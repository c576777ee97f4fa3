#include "admission/probe_scheduler.h"

#include <algorithm>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;

// A probe with a shorter time limit would give no information.
constexpr Duration kMinProbeTime = std::chrono::milliseconds(10);
constexpr Duration kMaxProbeTime = std::chrono::milliseconds(50);
// Longest time that a request waits for a probe: a fifth of the shortest target
// in use, 100 ms, and several times the response time of a healthy server.
constexpr Duration kMaxOnDemandTime = std::chrono::milliseconds(20);
// How long a server is considered slow after a probe without an answer: half
// the usual length of a slow period.
constexpr Duration kUnresponsiveTime = std::chrono::milliseconds(150);

}  // namespace

std::optional<Duration> ProbeScheduler::StartIfDue(Instant now) {
  if (running_ || now < last_answer_ + options_.quiet ||
      now < last_probe_ + options_.quiet) {
    return std::nullopt;
  }
  return ReserveBudget(kMaxProbeTime, now);
}

bool ProbeScheduler::IsStale(Instant now) const {
  return options_.stale > Duration::zero() &&
         now >= known_unresponsive_until_ &&
         now >= last_answer_ + options_.stale;
}

std::optional<Duration> ProbeScheduler::StartOnDemand(Instant now) {
  return running_ ? std::nullopt : ReserveBudget(kMaxOnDemandTime, now);
}

std::optional<Duration> ProbeScheduler::ReserveBudget(Duration longest,
                                                      Instant now) {
  while (!budget_uses_.empty() &&
         budget_uses_.front().begun + kProbeBudgetWindow <= now)
    budget_uses_.pop_front();
  const Duration window =
      std::min<Duration>(kProbeBudgetWindow, now - started_at_);
  Duration left = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(window) * options_.budget);
  for (const BudgetUse& use : budget_uses_)
    left -= use.cost;
  if (left < kMinProbeTime)
    return std::nullopt;
  const Duration time_limit = std::min<Duration>(left, longest);
  budget_uses_.push_back({now, time_limit});
  last_probe_ = now;
  running_ = true;
  ++probes_;
  return time_limit;
}

void ProbeScheduler::End(Duration cost, bool answered, Instant now) {
  if (!running_)
    return;
  running_ = false;
  budget_uses_.back().cost = cost;
  spent_ += cost;
  if (answered)
    last_answer_ = now;
  else
    known_unresponsive_until_ = now + kUnresponsiveTime;
}

}  // namespace chestnutport::admission
