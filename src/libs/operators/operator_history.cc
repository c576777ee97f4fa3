#include <nlohmann/json.hpp>
#include <utility>

#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {

using nlohmann::json;

void HandleHistory(const ManagedNode& node, net::Reply reply) {
  const configuration::Head& head = node.configuration.local().head();
  json confirmations = json::array();
  for (auto entry = head.history.rbegin(); entry != head.history.rend();
       ++entry) {
    json services = json::array();
    for (const auto& [service, before] : entry->changed)
      services.push_back(service);
    confirmations.push_back({{"revision", entry->revision},
                             {"plan", entry->plan_id},
                             {"by", entry->confirmed_by},
                             {"at", entry->confirmed_at},
                             {"services", services},
                             {"overruled", entry->overruled}});
  }
  SendJson(reply,
           {{"revision", head.revision}, {"confirmations", confirmations}});
}

}  // namespace chestnutport::operators
