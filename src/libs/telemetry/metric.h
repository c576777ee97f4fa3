// The closed list of metrics. docs/METRICS.md lists the same; a test keeps the
// two equal.
#ifndef TELEMETRY_METRIC_H_
#define TELEMETRY_METRIC_H_

#include <span>
#include <string_view>

namespace chestnutport::telemetry {

enum class MetricType { kCounter, kGauge, kHistogram };

enum class Metric {
  kCallSeconds,
  kCallAddedSeconds,
  kCalls,
  kCallErrors,
  kAttempts,
  kRetries,
  kMoves,
  kHedges,
  kAttemptQueueSeconds,
  kAttemptServerSeconds,
  kAttemptErrors,
  kAttemptsRateLimited,
  kInFlight,
  kLoopDelay,
  kBodyBytes,
  kBodyLimit,
  kBodiesRefused,
  kClientsRefused,
  kMembers,
  kRevision,
  kConfigurationBehind,
  kStoreWordAge,
  kConfigurationProofAge,
  kStoreCalls,
  kGossipSentBytes,
  kGossipRejected,
  kGossipSuspected,
  kGossipRefuted,
  kHeldRequests,
  kServerStrain,
  kServerWordAge,
  kServerRateLimit,
  kProbes,
  kProbeSeconds,
  kTenantRequests,
  kLimitLeases,
  kLimitAllocator,
  kLogSuppressed,
  kLogDropped,
  kControlCpuSeconds,
  kProcessCpuSeconds,
  kResidentBytes,
};

struct MetricDescription {
  Metric metric;
  std::string_view name;
  MetricType type;
  std::string_view labels;  // Separated by commas, in this order.
  std::string_view help;
};

std::string_view ToString(MetricType type);

// All metrics, in the order of the enumeration.
std::span<const MetricDescription> MetricTable();

const MetricDescription& Describe(Metric metric);

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_METRIC_H_
