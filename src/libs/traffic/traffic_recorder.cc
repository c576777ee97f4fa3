#include "traffic/traffic_recorder.h"

#include <utility>
#include <vector>

#include "telemetry/error_log.h"

namespace chestnutport::traffic {
namespace {

using telemetry::DeclaredLabels;

std::vector<DeclaredLabels> LabelsOf(
    const declarations::Configuration& configuration) {
  std::vector<DeclaredLabels> all;
  for (const auto& service : configuration.services) {
    DeclaredLabels labels{service.name, {}, {}};
    for (const auto& tenant : service.tenants)
      labels.tenants.push_back(tenant.name);
    for (const auto& traffic_class : service.classes)
      labels.classes.push_back(traffic_class.name);
    all.push_back(std::move(labels));
  }
  return all;
}

}  // namespace

void TrafficRecorder::SetConfiguration(
    const declarations::Configuration& configuration) {
  if (configuration.revision == revision_)
    return;
  revision_ = configuration.revision;
  metrics_.SetDeclared(LabelsOf(configuration));
}

void TrafficRecorder::Record(const telemetry::CallRecord& record) {
  metrics_.Record(record);
  if (record.error)
    telemetry::LogError(*record.error, record.service);
}

void TrafficRecorder::Record(const telemetry::AttemptRecord& record) {
  metrics_.Record(record);
}

}  // namespace chestnutport::traffic
