#include "calls/adaptive_timeouts.h"

#include <algorithm>

namespace chestnutport::calls {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kWindow(10);
// Quantiles change slowly, so they are computed only once per this many calls.
constexpr int kCallsPerRefresh = 64;
constexpr double kSlowQuantile = 0.99;
constexpr int kQueryDelayFactor = 4;
constexpr milliseconds kMinQueryDelay(50);
constexpr milliseconds kMaxQueryDelay(1000);
constexpr int kCancelLeadFactor = 3;
constexpr milliseconds kMinCancelLead(5);
constexpr milliseconds kDefaultCancelLead(20);
constexpr milliseconds kMaxCancelLead(100);

}  // namespace

AdaptiveTimeouts::AdaptiveTimeouts()
    : answer_latencies_(kWindow),
      query_latencies_(kWindow),
      status_query_delay_(kMaxQueryDelay),
      cancel_lead_(kDefaultCancelLead) {}

void AdaptiveTimeouts::OnAnswer(base::Duration latency, base::Instant now) {
  answer_latencies_.Record(latency, now);
}

void AdaptiveTimeouts::OnStatusReply(base::Duration round_trip,
                                     base::Instant now) {
  query_latencies_.Record(round_trip, now);
}

void AdaptiveTimeouts::Apply(double hedge_budget, CallPolicy& policy) {
  if (hedge_budget != hedge_budget_) {
    hedge_budget_ = hedge_budget;
    calls_until_refresh_ = 0;
  }
  if (calls_until_refresh_-- <= 0)
    Refresh();
  policy.hedge_delay = hedge_delay_;
  policy.status_query_delay = status_query_delay_;
  policy.cancel_lead = cancel_lead_;
}

void AdaptiveTimeouts::Refresh() {
  calls_until_refresh_ = kCallsPerRefresh;
  hedge_delay_ = base::Duration::zero();
  if (hedge_budget_ > 0)
    hedge_delay_ =
        answer_latencies_.Quantile(1 - hedge_budget_).value_or(hedge_delay_);
  if (const auto slow = answer_latencies_.Quantile(kSlowQuantile)) {
    status_query_delay_ = std::clamp<base::Duration>(
        *slow * kQueryDelayFactor, kMinQueryDelay, kMaxQueryDelay);
  }
  if (const auto slow = query_latencies_.Quantile(kSlowQuantile)) {
    cancel_lead_ = std::clamp<base::Duration>(*slow * kCancelLeadFactor,
                                              kMinCancelLead, kMaxCancelLead);
  }
}

}  // namespace chestnutport::calls
