#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "operators/drain_request.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using base::ErrorKind;
using membership::Member;
using nlohmann::json;

constexpr base::Duration kTimeout = std::chrono::seconds(3);

// The name or id in the body; empty: this node. Nothing if it is malformed.
std::optional<std::string> WantedNode(const std::string& body) {
  if (body.empty())
    return "";
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  if (!object.contains("node"))
    return "";
  if (!object["node"].is_string())
    return std::nullopt;
  return object["node"].get<std::string>();
}

std::vector<Member> FindMembers(const ManagedNode& node,
                                const std::string& wanted) {
  std::vector<Member> found;
  for (const Member& member : node.members) {
    const bool named = member.name == wanted || member.id.ToString() == wanted;
    if (named && member.state != membership::MemberState::kGone)
      found.push_back(member);
  }
  return found;
}

void Forward(const ManagedNode& node,
             const Member& member,
             const DrainRequest& order,
             net::Reply reply) {
  // A std::function must be copyable; the reply is not.
  auto held = std::make_shared<net::Reply>(std::move(reply));
  node.caller.Call(member.control_address, kDrainMethod, order.ToJson(),
                   kTimeout, [held, member, order](const auto& answer) {
                     if (!answer) {
                       // Repeating it is harmless, whether it arrived or
                       // not.
                       SendError(*held, base::KindOf(answer.error()),
                                 {{"node", member.id.ToString()}});
                       return;
                     }
                     SendJson(*held, {{"node", member.id.ToString()},
                                      {"name", member.name},
                                      {"draining", order.draining}});
                   });
}

}  // namespace

void HandleDrain(const ManagedNode& node,
                 const net::HttpRequest& request,
                 bool draining,
                 net::Reply reply) {
  const auto wanted = WantedNode(request.body);
  if (!wanted) {
    SendError(reply, ErrorKind::kMalformedRequest,
              {{"accepted", "{\"node\": name or id}"}});
    return;
  }
  const Member& self = node.self;
  if (wanted->empty() || *wanted == self.id.ToString()) {
    node.set_draining(draining);
    SendJson(reply, {{"node", self.id.ToString()},
                     {"name", self.name},
                     {"draining", draining}});
    return;
  }
  const std::vector<Member> found = FindMembers(node, *wanted);
  if (found.empty()) {
    SendError(reply, ErrorKind::kNotFound, {{"node", *wanted}});
  } else if (found.size() > 1) {
    json ids = json::array();
    for (const Member& member : found)
      ids.push_back(member.id.ToString());
    SendError(reply, ErrorKind::kMalformedRequest,
              {{"node", *wanted}, {"accepted", ids}});
  } else {
    Forward(node, found[0], {draining}, std::move(reply));
  }
}

}  // namespace chestnutport::operators
