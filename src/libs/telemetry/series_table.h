// The series of one kind of record, one for each service, tenant and class in
// use.
#ifndef TELEMETRY_SERIES_TABLE_H_
#define TELEMETRY_SERIES_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "telemetry/series_index.h"

namespace chestnutport::telemetry {

// A part of a table, copied. A table is read in parts so that no reader holds
// up the traffic for long.
template <typename Series>
struct SeriesPage {
  uint64_t generation = 0;  // Another one: begin again at the first part.
  size_t first = 0;
  size_t table_size = 0;
  std::vector<Series> series;
};

// `Series` must be copyable and have a member `labels` of SeriesLabels.
template <typename Series>
class SeriesTable {
 public:
  explicit SeriesTable(size_t capacity) : index_(capacity) { Grow(); }

  // Series whose labels are declared no more are dropped.
  void SetDeclared(const std::vector<DeclaredLabels>& declared) {
    index_.Reset(declared);
    auto before = std::exchange(series_, {});
    Grow();
    for (size_t i = 0; i < before.size(); ++i) {
      const SeriesLabels labels = before[i]->labels;
      if (i == 0)
        series_[0] = std::move(before[0]);
      else if (Series& kept =
                   At(labels.service, labels.tenant, labels.traffic_class);
               kept.labels == labels) {
        kept = std::move(*before[i]);
      }
    }
    ++generation_;
  }

  // The reference is good until the next call.
  Series& At(std::string_view service,
             std::string_view tenant,
             std::string_view traffic_class) {
    const size_t number = index_.Find(service, tenant, traffic_class);
    if (number >= series_.size())
      Grow();
    return *series_[number];
  }

  SeriesPage<Series> Copy(size_t first, size_t most) const {
    SeriesPage<Series> page{generation_, first, series_.size(), {}};
    const size_t end = std::min(series_.size(), first + most);
    for (size_t i = first; i < end; ++i)
      page.series.push_back(*series_[i]);
    return page;
  }

  size_t size() const { return series_.size(); }

 private:
  // Makes the series that the index has numbered.
  void Grow() {
    for (size_t i = series_.size(); i < index_.labels().size(); ++i) {
      series_.push_back(std::make_unique<Series>());
      series_.back()->labels = index_.labels()[i];
    }
  }

  SeriesIndex index_;
  std::vector<std::unique_ptr<Series>> series_;
  uint64_t generation_ = 0;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_SERIES_TABLE_H_
