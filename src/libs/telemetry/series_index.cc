#include "telemetry/series_index.h"

#include <limits>

#include "base/text.h"

namespace chestnutport::telemetry {
namespace {

constexpr size_t kUnused = std::numeric_limits<size_t>::max();
constexpr size_t kNoLabelPlace = 0;
constexpr size_t kOtherLabelPlace = 1;

}  // namespace

SeriesIndex::Names::Names(const std::vector<std::string>& declared)
    : names_{kNoLabel, kOtherLabel} {
  places_ = {{kNoLabel, kNoLabelPlace}, {kOtherLabel, kOtherLabelPlace}};
  for (const std::string& name : declared) {
    if (places_.emplace(name, names_.size()).second)
      names_.push_back(name);
  }
}

size_t SeriesIndex::Names::Find(std::string_view name) const {
  if (name.empty())
    return kNoLabelPlace;
  const auto found = places_.find(base::AbslView(name));
  return found == places_.end() ? kOtherLabelPlace : found->second;
}

SeriesIndex::SeriesIndex(size_t capacity) : capacity_(capacity) {
  Reset({});
}

void SeriesIndex::Reset(const std::vector<DeclaredLabels>& declared) {
  services_.clear();
  labels_ = {{kOtherLabel, kOtherLabel, kOtherLabel}};
  for (const DeclaredLabels& row : declared) {
    Service service{Names(row.tenants), Names(row.classes), {}};
    service.numbers.assign(service.tenants.size() * service.classes.size(),
                           kUnused);
    services_.emplace(row.service, std::move(service));
  }
}

size_t SeriesIndex::Find(std::string_view service,
                         std::string_view tenant,
                         std::string_view traffic_class) {
  const auto found = services_.find(base::AbslView(service));
  if (found == services_.end())
    return 0;
  Service& row = found->second;
  const size_t tenant_place = row.tenants.Find(tenant);
  const size_t class_place = row.classes.Find(traffic_class);
  size_t& number = row.numbers[tenant_place * row.classes.size() + class_place];
  if (number != kUnused)
    return number;
  if (labels_.size() >= capacity_)
    return 0;
  number = labels_.size();
  labels_.push_back({found->first, row.tenants.name(tenant_place),
                     row.classes.name(class_place)});
  return number;
}

}  // namespace chestnutport::telemetry
