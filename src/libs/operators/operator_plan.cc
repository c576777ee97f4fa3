#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/plan.h"
#include "declarations/tenants_document.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using nlohmann::json;

json ToJson(const configuration::Change& change) {
  return {{"kind", ToString(change.kind)}, {"service", change.service},
          {"section", change.section},     {"key", change.key},
          {"before", change.before},       {"after", change.after}};
}

// Counts the servers of `service`, and all for the tenants' document.
size_t CountServers(const ManagedNode& node, const std::string& service) {
  const auto count = std::ranges::count_if(
      node.members, [&](const membership::Member& member) {
        return member.server &&
               (member.server->service == service ||
                service == declarations::kTenantsDocument) &&
               member.state != membership::MemberState::kGone;
      });
  return static_cast<size_t>(count);
}

}  // namespace

void HandlePlan(const ManagedNode& node,
                const net::HttpRequest& request,
                net::Reply reply) {
  const auto texts = ReadDeclarations(request, reply);
  if (!texts)
    return;
  const auto plan =
      configuration::MakePlan(node.configuration.configuration(), *texts);
  json changes = json::array();
  for (const configuration::Change& change : plan.changes)
    changes.push_back(ToJson(change));
  json affected = json::array();
  for (const configuration::AffectedService& service : plan.affected) {
    affected.push_back({{"service", service.service},
                        {"servers", CountServers(node, service.service)},
                        {"tenants", service.tenants}});
  }
  SendJson(reply, {{"plan", plan.id},
                   {"base_revision", plan.base_revision},
                   {"changes", changes},
                   {"touches", affected}});
}

}  // namespace chestnutport::operators
