#include "telemetry/exposition.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "base/text.h"

namespace chestnutport::telemetry {
namespace {

using base::AbslView;

constexpr int kStride = LatencyHistogram::kBucketsPerDecade / 3;

// In label values the format wants these three escaped, and nothing else.
std::string Escape(std::string_view value) {
  return absl::StrReplaceAll(AbslView(value),
                             {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::string Label(std::string_view name, std::string_view value) {
  return absl::StrCat(AbslView(name), "=\"", Escape(value), "\"");
}

// The shortest text that reads back as the same number.
std::string Number(double value) {
  std::array<char, 32> digits;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  return {digits.data(), end.ptr};
}

std::string Labels(const SeriesLabels& labels) {
  return absl::StrCat(Label("service", labels.service), ",",
                      Label("tenant", labels.tenant), ",",
                      Label("class", labels.traffic_class));
}

void AppendHead(std::string& text, Metric metric) {
  const MetricDescription& row = Describe(metric);
  const absl::string_view name = AbslView(row.name);
  absl::StrAppend(&text, "# HELP ", name, " ", AbslView(row.help), "\n");
  absl::StrAppend(&text, "# TYPE ", name, " ", AbslView(ToString(row.type)),
                  "\n");
}

template <typename Value>
void AppendSample(std::string& text,
                  std::string_view name,
                  std::string_view labels,
                  Value value) {
  absl::StrAppend(&text, AbslView(name));
  if (!labels.empty())
    absl::StrAppend(&text, "{", AbslView(labels), "}");
  absl::StrAppend(&text, " ", value, "\n");
}

void AppendHistogram(std::string& text,
                     std::string_view name,
                     const std::string& labels,
                     const LatencyHistogram& histogram) {
  const std::string bucket_name = std::string(name) + "_bucket";
  for (const CumulativeBucket& bucket : histogram.Cumulative(kStride)) {
    const std::string end = std::isinf(bucket.upper_seconds)
                                ? "+Inf"
                                : absl::StrCat(bucket.upper_seconds);
    AppendSample(text, bucket_name, labels + "," + Label("le", end),
                 bucket.count);
  }
  const double sum = std::chrono::duration<double>(histogram.sum()).count();
  AppendSample(text, std::string(name) + "_sum", labels, Number(sum));
  AppendSample(text, std::string(name) + "_count", labels, histogram.count());
}

// Appends a metric of which each series has one value.
template <typename AllSeries, typename Append>
void AppendSeries(std::string& text,
                  Metric metric,
                  const AllSeries& all,
                  Append append) {
  AppendHead(text, metric);
  for (const auto& series : all)
    append(series, std::string(Describe(metric).name), Labels(series.labels));
}

template <typename Series>
void AppendHistograms(std::string& text,
                      Metric metric,
                      const std::vector<Series>& all,
                      LatencyHistogram Series::*member) {
  AppendSeries(text, metric, all,
               [&](const Series& series, const std::string& name,
                   const std::string& labels) {
                 if ((series.*member).count() > 0)
                   AppendHistogram(text, name, labels, series.*member);
               });
}

bool HasRecords(const CallSeries& series) {
  return series.total.count() > 0;
}

bool HasRecords(const AttemptSeries& series) {
  return series.queued.count() > 0;
}

template <typename Series>
void AppendCounts(std::string& text,
                  Metric metric,
                  const std::vector<Series>& all,
                  uint64_t Series::*member) {
  AppendSeries(text, metric, all,
               [&](const Series& series, const std::string& name,
                   const std::string& labels) {
                 if (HasRecords(series))
                   AppendSample(text, name, labels, series.*member);
               });
}

template <typename Series>
void AppendErrors(std::string& text,
                  Metric metric,
                  const std::vector<Series>& all) {
  AppendSeries(text, metric, all,
               [&](const Series& series, const std::string& name,
                   const std::string& labels) {
                 for (const base::ErrorAnswer& row : base::ErrorTable()) {
                   const uint64_t count = series.errors.Of(row.kind);
                   if (count > 0)
                     AppendSample(text, name,
                                  labels + "," + Label("error", row.name),
                                  count);
                 }
               });
}

void AppendOutcomes(std::string& text, const std::vector<CallSeries>& all) {
  AppendSeries(text, Metric::kCalls, all,
               [&](const CallSeries& series, const std::string& name,
                   const std::string& labels) {
                 if (series.total.count() == 0)
                   return;
                 for (size_t i = 0; i < CallSeries::kOutcomes; ++i) {
                   const auto outcome = static_cast<base::Outcome>(i);
                   AppendSample(
                       text, name,
                       labels + "," + Label("outcome", ToString(outcome)),
                       series.outcomes[i]);
                 }
               });
}

// Of names and values that are separated by commas, as many of each.
std::string Labels(std::string_view names, std::string_view values) {
  if (names.empty())
    return "";
  const auto all_names = base::Split(names, ',');
  const auto all_values = base::Split(values, ',');
  std::string labels;
  for (size_t i = 0; i < std::min(all_names.size(), all_values.size()); ++i) {
    if (i > 0)
      labels.append(",");
    labels.append(Label(all_names[i], all_values[i]));
  }
  return labels;
}

void AppendReadings(std::string& text, const std::vector<Reading>& readings) {
  for (const MetricDescription& row : MetricTable()) {
    bool has_head = false;
    for (const Reading& reading : readings) {
      if (reading.metric != row.metric)
        continue;
      if (!has_head)
        AppendHead(text, row.metric);
      has_head = true;
      AppendSample(text, row.name, Labels(row.labels, reading.label),
                   Number(reading.value));
    }
  }
}

}  // namespace

// Histograms come last: a reader that takes a part only has what is counted.
std::string WriteExposition(const MetricsReport& report) {
  std::string text;
  AppendErrors(text, Metric::kCallErrors, report.calls);
  AppendErrors(text, Metric::kAttemptErrors, report.attempts);
  AppendReadings(text, report.readings);
  AppendOutcomes(text, report.calls);
  AppendCounts(text, Metric::kAttempts, report.calls, &CallSeries::attempts);
  AppendCounts(text, Metric::kRetries, report.calls, &CallSeries::retries);
  AppendCounts(text, Metric::kMoves, report.calls, &CallSeries::moves);
  AppendCounts(text, Metric::kHedges, report.calls, &CallSeries::hedges);
  AppendCounts(text, Metric::kAttemptsRateLimited, report.attempts,
               &AttemptSeries::rate_limited);
  AppendHistograms(text, Metric::kCallSeconds, report.calls,
                   &CallSeries::total);
  AppendHistograms(text, Metric::kCallAddedSeconds, report.calls,
                   &CallSeries::added);
  AppendHistograms(text, Metric::kAttemptQueueSeconds, report.attempts,
                   &AttemptSeries::queued);
  AppendHistograms(text, Metric::kAttemptServerSeconds, report.attempts,
                   &AttemptSeries::serving);
  return text;
}

}  // namespace chestnutport::telemetry
