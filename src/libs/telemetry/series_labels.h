// Whom a series of metrics is about.
#ifndef TELEMETRY_SERIES_LABELS_H_
#define TELEMETRY_SERIES_LABELS_H_

#include <string>
#include <vector>

namespace chestnutport::telemetry {

struct SeriesLabels {
  std::string service;
  std::string tenant;
  std::string traffic_class;

  bool operator==(const SeriesLabels&) const = default;
};

// The labels that a service may have: what operators declared. Everything else
// is counted under kOtherLabel, so that callers cannot make series.
struct DeclaredLabels {
  std::string service;
  std::vector<std::string> tenants;
  std::vector<std::string> classes;
};

// A request that named no tenant or class.
inline constexpr char kNoLabel[] = "none";
// A name that is not declared.
inline constexpr char kOtherLabel[] = "other";

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_SERIES_LABELS_H_
