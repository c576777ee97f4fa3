// Finds the series of a request by its service, tenant and class. Only declared
// names get a series, and there is a hard cap on their number.
#ifndef TELEMETRY_SERIES_INDEX_H_
#define TELEMETRY_SERIES_INDEX_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "telemetry/series_labels.h"

namespace chestnutport::telemetry {

// Series are numbered from zero in the order of their first use; number zero
// takes what has no series of its own.
class SeriesIndex {
 public:
  // At most `capacity` series, number zero included.
  explicit SeriesIndex(size_t capacity);

  // Replaces the declared names, and forgets all numbers.
  void Reset(const std::vector<DeclaredLabels>& declared);

  // Allocates nothing but for the first use of a series.
  size_t Find(std::string_view service,
              std::string_view tenant,
              std::string_view traffic_class);

  // By number.
  const std::vector<SeriesLabels>& labels() const { return labels_; }

 private:
  class Names {
   public:
    explicit Names(const std::vector<std::string>& declared);
    size_t Find(std::string_view name) const;
    const std::string& name(size_t place) const { return names_[place]; }
    size_t size() const { return names_.size(); }

   private:
    std::vector<std::string> names_;
    absl::flat_hash_map<std::string, size_t> places_;
  };

  struct Service {
    Names tenants;
    Names classes;
    // Numbers by tenant and class; kUnused until the first use.
    std::vector<size_t> numbers;
  };

  size_t capacity_;
  absl::flat_hash_map<std::string, Service> services_;
  std::vector<SeriesLabels> labels_;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_SERIES_INDEX_H_
