#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "operators/operator_handlers.h"
#include "operators/operator_response.h"
#include "telemetry/log.h"

namespace chestnutport::operators {
namespace {

using base::ErrorKind;
using evacuation_store::EvacuationChange;
using evacuation_store::EvacuationRequest;
using nlohmann::json;

// Returns nothing if the body is malformed. The plan id is empty if the body
// has none.
std::optional<EvacuationRequest> ParseEvacuationRequest(
    const std::string& body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  try {
    EvacuationRequest evacuation_request;
    evacuation_request.change.data_centre =
        object.at("data_centre").get<std::string>();
    evacuation_request.change.is_evacuated = object.at("evacuated").get<bool>();
    evacuation_request.plan_id = object.value("plan", "");
    return evacuation_request;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

bool HasMembers(const ManagedNode& node, const std::string& data_centre) {
  return std::ranges::any_of(node.members,
                             [&](const membership::Member& member) {
                               return member.data_centre == data_centre;
                             });
}

// Returns the number of servers per service outside of the data centres in
// `evacuated`, without those whose node is gone. Draining servers are counted.
std::map<std::string, int> CountServers(
    const ManagedNode& node,
    const evacuation_store::DataCentres& evacuated) {
  std::map<std::string, int> servers;
  for (const membership::Member& member : node.members) {
    if (!member.server)
      continue;
    int& count = servers[member.server->service];
    const bool is_unavailable =
        std::ranges::find(evacuated, member.data_centre) != evacuated.end() ||
        member.state == membership::MemberState::kGone;
    count += is_unavailable ? 0 : 1;
  }
  return servers;
}

void SendPlan(const ManagedNode& node,
              const EvacuationChange& change,
              net::Reply& reply) {
  const auto& current = node.evacuations.data_centres;
  const auto before = CountServers(node, current);
  const auto after = CountServers(node, change.Apply(current));
  json services = json::array();
  for (const auto& [service, servers] : before) {
    services.push_back({{"service", service},
                        {"servers", servers},
                        {"servers_after", after.at(service)}});
  }
  SendJson(reply, {{"plan", change.PlanId(current)},
                   {"data_centre", change.data_centre},
                   {"evacuated", change.is_evacuated},
                   {"services", services}});
}

}  // namespace

void HandleEvacuations(const ManagedNode& node, net::Reply reply) {
  SendJson(reply, {{"data_centres", node.evacuations.data_centres}});
}

void HandleEvacuate(const ManagedNode& node,
                    const net::HttpRequest& request,
                    const std::string& operator_name,
                    net::Reply reply) {
  const auto evacuation_request =
      ParseEvacuationRequest(request.body.ToString());
  if (!evacuation_request) {
    SendError(reply, ErrorKind::kMalformedRequest,
              {{"accepted",
                "{\"data_centre\": name, \"evacuated\": true or false, "
                "\"plan\": of the answer without it}"}});
    return;
  }
  const EvacuationChange& change = evacuation_request->change;
  if (change.is_evacuated && !HasMembers(node, change.data_centre)) {
    SendError(reply, ErrorKind::kNotFound,
              {{"data_centre", change.data_centre}});
    return;
  }
  if (evacuation_request->plan_id.empty()) {
    SendPlan(node, change, reply);
    return;
  }
  // std::function requires a copyable callable; net::Reply is move-only.
  auto shared_reply = std::make_shared<net::Reply>(std::move(reply));
  node.evacuate(*evacuation_request, [shared_reply, change,
                                      operator_name](const auto& result) {
    if (!result) {
      SendError(*shared_reply, base::KindOf(result.error()),
                {{"data_centre", change.data_centre}});
      return;
    }
    telemetry::LogEvent(telemetry::Event::kEvacuationConfirmed,
                        {{"data_centre", change.data_centre},
                         {"evacuated", change.is_evacuated ? "yes" : "no"},
                         {"by", operator_name}});
    SendJson(*shared_reply, {{"data_centres", result.value()}});
  });
}

}  // namespace chestnutport::operators
