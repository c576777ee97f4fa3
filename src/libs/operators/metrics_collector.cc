#include "operators/metrics_collector.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace chestnutport::operators {
namespace {

// Series copied at a time: some tens of microseconds of a traffic thread.
constexpr size_t kSeriesInPart = 64;

// A table as far as it was copied.
template <typename Series>
struct PartialCopy {
  bool IsComplete() const { return table_size && series.size() >= *table_size; }

  void Extend(const telemetry::SeriesTable<Series>& table) {
    auto page = table.Copy(series.size(), kSeriesInPart);
    if (table_size && page.generation != generation) {
      series.clear();
      page = table.Copy(0, kSeriesInPart);
    }
    generation = page.generation;
    table_size = page.table_size;
    std::ranges::move(page.series, std::back_inserter(series));
  }

  uint64_t generation = 0;
  std::optional<size_t> table_size;  // None before the first part.
  std::vector<Series> series;
};

}  // namespace

// Handed from thread to thread, and used by one at a time.
struct MetricsCollector::Collection {
  Handler handler;
  telemetry::MetricsReport report;
  size_t source = 0;
  PartialCopy<telemetry::CallSeries> calls;
  PartialCopy<telemetry::AttemptSeries> attempts;
};

MetricsCollector::MetricsCollector(net::EventLoop& control_loop,
                                   std::vector<Source> sources)
    : control_loop_(control_loop), sources_(std::move(sources)) {}

void MetricsCollector::Collect(Handler handler) {
  // A std::function must be copyable; a collection need not be.
  auto collection = std::make_shared<Collection>();
  collection->handler = std::move(handler);
  AskSource(std::move(collection));
}

void MetricsCollector::AskSource(std::shared_ptr<Collection> collection) {
  if (collection->source == sources_.size()) {
    collection->handler(std::move(collection->report));
    return;
  }
  const Source& source = sources_[collection->source];
  source.loop.Post([this, &source, collection = std::move(collection)] {
    CopyPart(source, *collection);
    control_loop_.Post([this, collection] { AskSource(collection); });
  });
}

void MetricsCollector::CopyPart(const Source& source, Collection& collection) {
  const telemetry::TrafficMetrics& metrics = *source.metrics();
  collection.calls.Extend(metrics.calls());
  collection.attempts.Extend(metrics.attempts());
  if (!collection.calls.IsComplete() || !collection.attempts.IsComplete())
    return;
  telemetry::MetricsReport& report = collection.report;
  report.readings.push_back(source.in_flight());
  std::ranges::move(collection.calls.series, std::back_inserter(report.calls));
  std::ranges::move(collection.attempts.series,
                    std::back_inserter(report.attempts));
  collection.calls = {};
  collection.attempts = {};
  ++collection.source;
}

}  // namespace chestnutport::operators
