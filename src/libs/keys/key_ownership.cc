#include "keys/key_ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace chestnutport::keys {
namespace {

using base::Duration;
using base::Instant;
using base::NodeId;

}  // namespace

std::optional<NodeId> OwnerOf(uint64_t key_hash,
                              std::span<const OwnerNode> nodes) {
  std::optional<NodeId> owner;
  uint64_t highest = 0;
  for (const OwnerNode& node : nodes) {
    if (node.state == OwnerState::kDraining)
      continue;
    const uint64_t weight =
        XXH3_64bits_withSeed(&node.id.value, sizeof(node.id.value), key_hash);
    if (!owner ||
        std::pair(weight, node.id.value) > std::pair(highest, owner->value)) {
      owner = node.id;
      highest = weight;
    }
  }
  return owner;
}

KeyOwnership::KeyOwnership(NodeId self, const OwnershipOptions& options)
    : self_(self), options_(options) {}

void KeyOwnership::SetView(std::vector<OwnerNode> nodes, Instant as_of) {
  const bool was_valid = IsValid(as_of);
  as_of_ = as_of;
  if (views_.empty() || views_.back().nodes != nodes)
    views_.push_back({as_of, std::move(nodes)});
  // Keeps one view that began before the reuse window and the settling time.
  const Instant oldest = as_of - options_.reuse_window - options_.settling_time;
  while (views_.size() > 1 && views_[1].started_at <= oldest)
    views_.pop_front();
  has_majority_ = HasMajority();
  // While the view was invalid, another node may have owned the keys, even if
  // the views of this node do not show it.
  if (!was_valid)
    valid_since_ = as_of;
}

OwnershipDecision KeyOwnership::StatusOf(uint64_t key_hash,
                                         std::optional<Duration> key_age,
                                         Instant now) const {
  if (!IsValid(now))
    return {OwnershipStatus::kNoValidView};
  if (OwnerOf(key_hash, views_.back().nodes) != self_)
    return {OwnershipStatus::kNotOwner};
  const Instant runs_from = OwnedSince(key_hash) + options_.settling_time;
  if (now < runs_from)
    return {OwnershipStatus::kSettling, runs_from - now};
  if (key_age && *key_age >= options_.reuse_window)
    return {OwnershipStatus::kUncertain};
  const Instant first_use = now - key_age.value_or(options_.reuse_window);
  const bool is_first_used_here =
      first_use - (key_age ? options_.max_transit : Duration::zero()) >=
      runs_from;
  if (is_first_used_here)
    return {OwnershipStatus::kMayRun};
  return {OwnershipStatus::kUncertain, runs_from + options_.reuse_window - now};
}

bool KeyOwnership::IsValid(Instant now) const {
  return !views_.empty() && has_majority_ &&
         now <= as_of_ + options_.view_validity;
}

bool KeyOwnership::HasMajority() const {
  // The state in which each node was last seen.
  std::map<uint64_t, OwnerState> last_seen;
  for (const View& view : views_) {
    for (const OwnerNode& node : view.nodes)
      last_seen[node.id.value] = node.state;
  }
  const auto draining = std::ranges::count_if(last_seen, [](const auto& entry) {
    return entry.second == OwnerState::kDraining;
  });
  const auto serving = std::ranges::count(
      views_.back().nodes, OwnerState::kServing, &OwnerNode::state);
  return 2 * serving > static_cast<long>(last_seen.size()) - draining;
}

Instant KeyOwnership::OwnedSince(uint64_t key_hash) const {
  Instant owned_since = views_.back().started_at;
  for (auto view = views_.rbegin(); view != views_.rend(); ++view) {
    if (OwnerOf(key_hash, view->nodes) != self_)
      break;
    owned_since = view->started_at;
  }
  return std::max(owned_since, valid_since_);
}

}  // namespace chestnutport::keys
