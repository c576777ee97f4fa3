#include <nlohmann/json.hpp>
#include <utility>

#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {

using nlohmann::json;

void HandleReady(const ManagedNode& node, net::Reply reply) {
  if (node.is_ready())
    SendJson(reply, {{"ready", true}});
  else
    SendError(reply, base::ErrorKind::kConfigurationMissing);
}

void HandleStatus(const ManagedNode& node, net::Reply reply) {
  json members = json::array();
  for (const membership::Member& member : node.members)
    members.push_back(json::parse(member.ToJson()));
  SendJson(reply, {{"node", node.self.id.ToString()},
                   {"name", node.self.name},
                   {"revision", node.configuration.local().head().revision},
                   {"reads_store", node.configuration.is_reader()},
                   {"members", members}});
}

}  // namespace chestnutport::operators
