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

constexpr base::Duration kForwardTimeout = std::chrono::seconds(3);

// Returns the node name or id in the body, or an empty string if none is given,
// which means this node. Returns nothing if the body is malformed.
std::optional<std::string> ParseNodeName(const std::string& body) {
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
                                const std::string& name_or_id) {
  std::vector<Member> members;
  for (const Member& member : node.members) {
    const bool matches =
        member.name == name_or_id || member.id.ToString() == name_or_id;
    if (matches && member.state != membership::MemberState::kGone)
      members.push_back(member);
  }
  return members;
}

void ForwardDrain(const ManagedNode& node,
                  const Member& member,
                  const DrainRequest& drain_request,
                  net::Reply reply) {
  // std::function requires a copyable callable; net::Reply is move-only.
  auto shared_reply = std::make_shared<net::Reply>(std::move(reply));
  node.caller.Call(member.control_address, kDrainMethod, drain_request.ToJson(),
                   kForwardTimeout,
                   [shared_reply, member, drain_request](const auto& answer) {
                     if (!answer) {
                       // The call is idempotent, so that it may be retried
                       // whether or not it arrived.
                       SendError(*shared_reply, base::KindOf(answer.error()),
                                 {{"node", member.id.ToString()}});
                       return;
                     }
                     SendJson(*shared_reply,
                              {{"node", member.id.ToString()},
                               {"name", member.name},
                               {"draining", drain_request.draining}});
                   });
}

}  // namespace

void HandleDrain(const ManagedNode& node,
                 const net::HttpRequest& request,
                 bool draining,
                 net::Reply reply) {
  const auto name_or_id = ParseNodeName(request.body.ToString());
  if (!name_or_id) {
    SendError(reply, ErrorKind::kMalformedRequest,
              {{"accepted", "{\"node\": name or id}"}});
    return;
  }
  const Member& self = node.self;
  if (name_or_id->empty() || *name_or_id == self.id.ToString()) {
    node.set_draining(draining);
    SendJson(reply, {{"node", self.id.ToString()},
                     {"name", self.name},
                     {"draining", draining}});
    return;
  }
  const std::vector<Member> members = FindMembers(node, *name_or_id);
  if (members.empty()) {
    SendError(reply, ErrorKind::kNotFound, {{"node", *name_or_id}});
  } else if (members.size() > 1) {
    json ids = json::array();
    for (const Member& member : members)
      ids.push_back(member.id.ToString());
    SendError(reply, ErrorKind::kMalformedRequest,
              {{"node", *name_or_id}, {"accepted", ids}});
  } else {
    ForwardDrain(node, members[0], {draining}, std::move(reply));
  }
}

}  // namespace chestnutport::operators
