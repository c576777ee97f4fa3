#include "operators/metrics_api.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "base/text.h"
#include "telemetry/exposition.h"
#include "telemetry/metrics_json.h"

namespace chestnutport::operators {
namespace {

constexpr std::string_view kMetricsPath = "/v1/metrics";

struct MetricsQuery {
  bool wants_json = false;
  std::string service;
  std::string tenant;
};

MetricsQuery ParseQuery(std::string_view target) {
  MetricsQuery query;
  const size_t query_start = target.find('?');
  if (query_start == std::string_view::npos)
    return query;
  for (const std::string_view part :
       base::Split(target.substr(query_start + 1), '&')) {
    const size_t equals = std::min(part.find('='), part.size());
    const std::string_view name = part.substr(0, equals);
    const std::string_view value =
        part.substr(std::min(equals + 1, part.size()));
    if (name == "format")
      query.wants_json = value == "json";
    else if (name == "service")
      query.service = value;
    else if (name == "tenant")
      query.tenant = value;
  }
  return query;
}

}  // namespace

bool IsMetricsTarget(std::string_view target) {
  return target.substr(0, target.find('?')) == kMetricsPath;
}

MetricsApi::MetricsApi(
    MetricsCollector& collector,
    std::function<std::vector<telemetry::Reading>()> control_readings)
    : collector_(collector), control_readings_(std::move(control_readings)) {}

void MetricsApi::Answer(std::string_view target, net::Reply reply) {
  const MetricsQuery query = ParseQuery(target);
  // std::function requires a copyable callable; net::Reply is move-only.
  auto shared_reply = std::make_shared<net::Reply>(std::move(reply));
  collector_.Collect(
      [this, query, shared_reply](telemetry::MetricsReport report) {
        report.Keep(query.service, query.tenant);
        for (telemetry::Reading& reading : control_readings_())
          report.readings.push_back(std::move(reading));
        net::HttpAnswer answer;
        if (query.wants_json) {
          answer.headers = {{"Content-Type", "application/json"}};
          answer.body = telemetry::WriteMetricsJson(report);
        } else {
          answer.headers = {{"Content-Type", telemetry::kExpositionType}};
          answer.body = telemetry::WriteExposition(report);
        }
        shared_reply->Send(std::move(answer));
      });
}

}  // namespace chestnutport::operators
