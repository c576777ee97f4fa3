#include "operators/metrics_collector.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace chestnutport::operators {
namespace {

// Copying a page takes some tens of microseconds of a traffic thread.
constexpr size_t kSeriesPerPage = 64;

// A partial copy of a table. Starts anew if the generation of the table
// changes.
template <typename Series>
struct PartialCopy {
  bool IsComplete() const { return table_size && series.size() >= *table_size; }

  void Extend(const telemetry::SeriesTable<Series>& table) {
    auto page = table.Copy(series.size(), kSeriesPerPage);
    if (table_size && page.generation != generation) {
      series.clear();
      page = table.Copy(0, kSeriesPerPage);
    }
    generation = page.generation;
    table_size = page.table_size;
    std::ranges::move(page.series, std::back_inserter(series));
  }

  uint64_t generation = 0;
  std::optional<size_t> table_size;  // Unset before the first page.
  std::vector<Series> series;
};

}  // namespace

// Passed from thread to thread and used by one thread at a time.
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
  // std::function requires a copyable callable; sharing avoids copies.
  auto collection = std::make_shared<Collection>();
  collection->handler = std::move(handler);
  CollectNext(std::move(collection));
}

void MetricsCollector::CollectNext(std::shared_ptr<Collection> collection) {
  if (collection->source == sources_.size()) {
    collection->handler(std::move(collection->report));
    return;
  }
  const Source& source = sources_[collection->source];
  source.loop.Post([this, &source, collection = std::move(collection)] {
    CopyNextPage(source, *collection);
    control_loop_.Post([this, collection] { CollectNext(collection); });
  });
}

void MetricsCollector::CopyNextPage(const Source& source,
                                    Collection& collection) {
  const telemetry::TrafficMetrics& metrics = *source.metrics();
  collection.calls.Extend(metrics.calls());
  collection.attempts.Extend(metrics.attempts());
  if (!collection.calls.IsComplete() || !collection.attempts.IsComplete())
    return;
  telemetry::MetricsReport& report = collection.report;
  report.readings.push_back(source.in_flight());
  std::ranges::move(source.readings(), std::back_inserter(report.readings));
  std::ranges::move(collection.calls.series, std::back_inserter(report.calls));
  std::ranges::move(collection.attempts.series,
                    std::back_inserter(report.attempts));
  collection.calls = {};
  collection.attempts = {};
  ++collection.source;
}

}  // namespace chestnutport::operators
