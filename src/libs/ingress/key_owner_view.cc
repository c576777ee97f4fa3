#include "ingress/key_owner_view.h"

#include <algorithm>
#include <iterator>

namespace chestnutport::ingress {
namespace {

keys::OwnerState ToOwnerState(routing::ServerState state) {
  switch (state) {
    case routing::ServerState::kServing:
      return keys::OwnerState::kServing;
    case routing::ServerState::kDraining:
      return keys::OwnerState::kDraining;
    case routing::ServerState::kSuspected:
      break;
  }
  return keys::OwnerState::kSuspected;
}

}  // namespace

std::vector<keys::OwnerNode> ToOwnerNodes(
    std::span<const routing::ServerCandidate> servers) {
  std::vector<keys::OwnerNode> nodes;
  nodes.reserve(servers.size());
  for (const routing::ServerCandidate& server : servers)
    nodes.push_back({server.node, ToOwnerState(server.state)});
  std::ranges::sort(nodes, {},
                    [](const keys::OwnerNode& node) { return node.id.value; });
  return nodes;
}

const routing::ServerCandidate* FindKeyOwner(
    uint64_t key_hash,
    std::span<const routing::ServerCandidate> servers,
    const routing::ServerFilter& filter) {
  std::vector<routing::ServerCandidate> admitted;
  std::ranges::copy_if(servers, std::back_inserter(admitted),
                       [&filter](const routing::ServerCandidate& server) {
                         return filter.Admits(server);
                       });
  const auto owner = keys::OwnerOf(key_hash, ToOwnerNodes(admitted));
  if (!owner)
    return nullptr;
  const auto found =
      std::ranges::find(servers, *owner, &routing::ServerCandidate::node);
  return found == servers.end() ? nullptr : &*found;
}

}  // namespace chestnutport::ingress
