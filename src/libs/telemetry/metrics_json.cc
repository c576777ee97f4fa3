#include "telemetry/metrics_json.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace chestnutport::telemetry {
namespace {

using nlohmann::json;

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

json LabelsOf(Metric metric, const SeriesLabels& labels) {
  return {{"metric", Describe(metric).name},
          {"service", labels.service},
          {"tenant", labels.tenant},
          {"class", labels.traffic_class}};
}

json BucketsOf(const LatencyHistogram& histogram) {
  json buckets = json::array();
  uint64_t below = 0;
  for (const CumulativeBucket& bucket : histogram.Cumulative(1)) {
    const uint64_t here = bucket.count - below;
    below = bucket.count;
    if (here == 0)
      continue;
    const json upper = std::isinf(bucket.upper_seconds)
                           ? json(nullptr)
                           : json(bucket.upper_seconds);
    buckets.push_back(json::array({upper, here}));
  }
  return buckets;
}

void AppendHistogram(json& all,
                     Metric metric,
                     const SeriesLabels& labels,
                     const LatencyHistogram& histogram) {
  if (histogram.count() == 0)
    return;
  json row = LabelsOf(metric, labels);
  row["count"] = histogram.count();
  row["sum_seconds"] = ToSeconds(histogram.sum());
  row["p50_seconds"] = ToSeconds(histogram.Quantile(0.5));
  row["p90_seconds"] = ToSeconds(histogram.Quantile(0.9));
  row["p99_seconds"] = ToSeconds(histogram.Quantile(0.99));
  row["p999_seconds"] = ToSeconds(histogram.Quantile(0.999));
  row["buckets"] = BucketsOf(histogram);
  all.push_back(std::move(row));
}

void AppendCount(json& all,
                 Metric metric,
                 const SeriesLabels& labels,
                 std::string_view label,
                 uint64_t value) {
  if (value == 0)
    return;
  json row = LabelsOf(metric, labels);
  row["label"] = label;
  row["value"] = value;
  all.push_back(std::move(row));
}

void AppendErrors(json& all,
                  Metric metric,
                  const SeriesLabels& labels,
                  const ErrorCounts& errors) {
  for (const base::ErrorAnswer& row : base::ErrorTable())
    AppendCount(all, metric, labels, row.name, errors.Of(row.kind));
}

}  // namespace

std::string WriteMetricsJson(const MetricsReport& report) {
  json histograms = json::array();
  json counts = json::array();
  for (const CallSeries& series : report.calls) {
    const SeriesLabels& labels = series.labels;
    AppendHistogram(histograms, Metric::kCallSeconds, labels, series.total);
    AppendHistogram(histograms, Metric::kCallAddedSeconds, labels,
                    series.added);
    for (size_t i = 0; i < CallSeries::kOutcomes; ++i) {
      AppendCount(counts, Metric::kCalls, labels,
                  ToString(static_cast<base::Outcome>(i)), series.outcomes[i]);
    }
    AppendErrors(counts, Metric::kCallErrors, labels, series.errors);
    AppendCount(counts, Metric::kAttempts, labels, "", series.attempts);
    AppendCount(counts, Metric::kRetries, labels, "", series.retries);
    AppendCount(counts, Metric::kMoves, labels, "", series.moves);
    AppendCount(counts, Metric::kHedges, labels, "", series.hedges);
  }
  for (const AttemptSeries& series : report.attempts) {
    const SeriesLabels& labels = series.labels;
    AppendHistogram(histograms, Metric::kAttemptQueueSeconds, labels,
                    series.queued);
    AppendHistogram(histograms, Metric::kAttemptServerSeconds, labels,
                    series.serving);
    AppendErrors(counts, Metric::kAttemptErrors, labels, series.errors);
    AppendCount(counts, Metric::kAttemptsRateLimited, labels, "",
                series.rate_limited);
  }
  json readings = json::array();
  for (const Reading& reading : report.readings) {
    readings.push_back({{"metric", Describe(reading.metric).name},
                        {"label", reading.label},
                        {"value", reading.value}});
  }
  const json all = {{"histograms", std::move(histograms)},
                    {"counts", std::move(counts)},
                    {"readings", std::move(readings)}};
  return all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace chestnutport::telemetry
