// Metrics of a traffic thread: what is counted, in how much memory, and how it
// is written.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

#include "support/allocation_count.h"
#include "telemetry/exposition.h"
#include "telemetry/traffic_metrics.h"

namespace chestnutport::telemetry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kBucketWidth = 1.22;  // A twelfth of a decade, with room.

CallRecord Call(std::string_view tenant, std::string_view traffic_class = "") {
  CallRecord record;
  record.service = "dossie";
  record.tenant = tenant;
  record.traffic_class = traffic_class;
  record.total = milliseconds(5);
  record.server_time = milliseconds(4);
  record.attempts = 1;
  return record;
}

const CallSeries* Find(const std::vector<CallSeries>& all,
                       const SeriesLabels& labels) {
  const auto found = std::ranges::find_if(
      all, [&](const CallSeries& series) { return series.labels == labels; });
  return found == all.end() ? nullptr : &*found;
}

std::vector<CallSeries> All(const TrafficMetrics& metrics) {
  return metrics.calls().Copy(0, metrics.calls().size()).series;
}

bool Contains(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

TEST_CASE("a quantile lies within a bucket of the exact one") {
  rc::prop("for any durations", [] {
    auto values = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(10, 90'000'000)));
    LatencyHistogram histogram;
    for (const int value : values)
      histogram.Record(microseconds(value));
    std::ranges::sort(values);
    for (const double share : {0.5, 0.9, 0.99, 1.0}) {
      const auto rank = static_cast<size_t>(
          std::ceil(share * static_cast<double>(values.size())));
      const double exact = values[std::max<size_t>(rank, 1) - 1];
      const double read =
          std::chrono::duration<double, std::micro>(histogram.Quantile(share))
              .count();
      RC_ASSERT(read <= exact * kBucketWidth);
      RC_ASSERT(read >= exact / kBucketWidth);
    }
  });
}

TEST_CASE("durations outside of the buckets are still counted") {
  LatencyHistogram histogram;
  CHECK(histogram.Quantile(0.5) == base::Duration::zero());
  histogram.Record(milliseconds(-1));
  histogram.Record(std::chrono::hours(1));
  const auto buckets = histogram.Cumulative(4);
  CHECK(histogram.count() == 2);
  CHECK(buckets.front().count == 1);
  CHECK(buckets[buckets.size() - 2].count == 1);
  CHECK(buckets.back().count == 2);
  CHECK(std::isinf(buckets.back().upper_seconds));
  CHECK(histogram.Quantile(1) == std::chrono::seconds(100));
}

TEST_CASE("error kinds are numbered from one without gaps") {
  int expected = 1;
  for (const base::ErrorAnswer& row : base::ErrorTable())
    CHECK(static_cast<int>(row.kind) == expected++);
}

TEST_CASE("calls are counted by declared names") {
  TrafficMetrics metrics;
  metrics.SetDeclared({{"dossie", {"alfa", "beta"}, {"urgent"}}});
  CallRecord record = Call("alfa", "urgent");
  record.attempts = 3;
  record.hedges = 1;
  metrics.Record(record);

  SECTION("a call has its times, its outcome and its attempts") {
    const auto all = All(metrics);
    const CallSeries* series = Find(all, {"dossie", "alfa", "urgent"});
    REQUIRE(series);
    CHECK(series->total.sum() == milliseconds(5));
    CHECK(series->added.sum() == milliseconds(1));
    CHECK(series->outcomes[0] == 1);
    CHECK(series->attempts == 3);
    CHECK(series->hedges == 1);
    CHECK(series->retries == 1);
  }

  SECTION("names that callers invent share one series") {
    for (int i = 0; i < 10'000; ++i)
      metrics.Record(Call("invented-" + std::to_string(i), "x"));
    metrics.Record(Call("", ""));
    CHECK(metrics.calls().size() == 4);
    const auto all = All(metrics);
    CHECK(Find(all, {"dossie", "other", "other"})->total.count() == 10'000);
    CHECK(Find(all, {"dossie", "none", "none"})->total.count() == 1);
  }

  SECTION("a flood of invented names takes no memory") {
    const std::string name(100, 'x');
    metrics.Record(Call(name, name));
    const uint64_t before = test::AllocationCount();
    for (int i = 0; i < 1000; ++i) {
      metrics.Record(Call(name, name));
      metrics.Record(record);
      AttemptRecord attempt;
      attempt.service = name;
      attempt.error = base::ErrorKind::kOverloaded;
      metrics.Record(attempt);
    }
    CHECK(test::AllocationCount() - before == 0);
  }

  SECTION("a service that is not declared is counted as other") {
    CallRecord stray = Call("alfa");
    stray.service = "stray";
    metrics.Record(stray);
    const auto all = All(metrics);
    CHECK(Find(all, {"other", "other", "other"})->total.count() == 1);
  }

  SECTION("a new configuration keeps the series that are still declared") {
    metrics.Record(Call("beta"));
    const uint64_t generation = metrics.calls().Copy(0, 0).generation;
    metrics.SetDeclared({{"dossie", {"alfa", "gama"}, {"urgent"}}});
    const auto all = All(metrics);
    CHECK(Find(all, {"dossie", "alfa", "urgent"})->total.count() == 1);
    CHECK_FALSE(Find(all, {"dossie", "beta", "none"}));
    CHECK(metrics.calls().Copy(0, 0).generation != generation);
  }

  SECTION("declared names may be those that the product uses itself") {
    metrics.SetDeclared({{"dossie", {"other", "none", "other"}, {}}});
    metrics.Record(Call("other"));
    metrics.Record(Call("invented"));
    const auto all = All(metrics);
    CHECK(Find(all, {"dossie", "other", "none"})->total.count() == 2);
  }
}

TEST_CASE("the number of series is capped whatever operators declare") {
  constexpr size_t kCapacity = 10;
  TrafficMetrics metrics(kCapacity);
  DeclaredLabels declared{"dossie", {}, {}};
  for (int i = 0; i < 100; ++i)
    declared.tenants.push_back("tenant-" + std::to_string(i));
  metrics.SetDeclared({declared});
  for (const std::string& tenant : declared.tenants)
    metrics.Record(Call(tenant));
  CHECK(metrics.calls().size() == kCapacity);
  const auto all = All(metrics);
  CHECK(Find(all, {"other", "other", "other"})->total.count() == 91);
  metrics.SetDeclared({declared});
  CHECK(metrics.calls().size() == kCapacity);
}

TEST_CASE("a table is read in parts") {
  TrafficMetrics metrics;
  metrics.SetDeclared({{"dossie", {"a", "b", "c"}, {}}});
  for (const char* tenant : {"a", "b", "c"})
    metrics.Record(Call(tenant));
  const auto first = metrics.calls().Copy(0, 3);
  const auto second = metrics.calls().Copy(3, 3);
  CHECK(first.table_size == 4);
  CHECK(first.series.size() == 3);
  REQUIRE(second.series.size() == 1);
  CHECK(second.series[0].labels.tenant == "c");
  CHECK(metrics.calls().Copy(9, 3).series.empty());
}

TEST_CASE("metrics are written as text") {
  TrafficMetrics metrics;
  metrics.SetDeclared({{"dossie", {"a\\b\"c\nd"}, {}}});
  CallRecord record = Call("a\\b\"c\nd");
  record.outcome = base::Outcome::kNotRun;
  record.error = base::ErrorKind::kOverloaded;
  metrics.Record(record);
  metrics.Record(record);
  MetricsReport report;
  report.calls = All(metrics);
  report.readings = {{Metric::kStoreCalls, "read,refused", 12345678901.0},
                     {Metric::kMembers, "alive", 3}};
  const std::string text = WriteExposition(report);
  const std::string labels =
      R"(service="dossie",tenant="a\\b\"c\nd",class="none")";

  SECTION("label values are escaped") {
    CHECK(Contains(text, "chestnutport_calls_total{" + labels +
                             ",outcome=\"not-run\"} 2"));
    CHECK(Contains(text, "chestnutport_call_errors_total{" + labels +
                             ",error=\"overloaded\"} 2"));
  }

  SECTION("buckets are cumulative and end at infinity") {
    const std::string bucket = "chestnutport_call_seconds_bucket{" + labels;
    CHECK(Contains(text, bucket + ",le=\"1e-05\"} 0"));
    CHECK(Contains(text, bucket + ",le=\"0.00464159\"} 0"));
    CHECK(Contains(text, bucket + ",le=\"0.01\"} 2"));
    CHECK(Contains(text, bucket + ",le=\"100\"} 2"));
    CHECK(Contains(text, bucket + ",le=\"+Inf\"} 2"));
    CHECK(Contains(text, "chestnutport_call_seconds_sum{" + labels + "} 0.01"));
    CHECK(Contains(text, "chestnutport_call_seconds_count{" + labels + "} 2"));
  }

  SECTION("large numbers keep every digit") {
    CHECK(Contains(text,
                   "chestnutport_store_calls_total{kind=\"read\",result="
                   "\"refused\"} 12345678901"));
    CHECK(Contains(text, "chestnutport_members{state=\"alive\"} 3"));
  }

  SECTION("each metric that is written has one type line") {
    for (const MetricDescription& row : MetricTable()) {
      const std::string type = "# TYPE " + std::string(row.name) + " ";
      const size_t at = text.find(type);
      if (at != std::string::npos)
        CHECK(text.find(type, at + 1) == std::string::npos);
    }
  }

  SECTION("series of others can be left out") {
    report.Keep("dossie", "nobody");
    CHECK(report.calls.empty());
  }
}

}  // namespace
}  // namespace chestnutport::telemetry
