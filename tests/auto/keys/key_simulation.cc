#include "key_simulation.h"

#include <algorithm>
#include <optional>
#include <string>

namespace chestnutport::test {
namespace {

using base::NodeId;
using keys::OwnerState;
using std::chrono::milliseconds;

constexpr int kNodes = 5;
constexpr milliseconds kTick(500);
constexpr uint32_t kMaxPropagationMs = 1500;  // Of view updates to all nodes.
constexpr uint32_t kSuspicionMs = 1000;       // From suspicion to removal.

keys::KeyScope ScopeOf(size_t key) {
  return {"dossie", "", std::to_string(key)};
}

}  // namespace

KeySimulation::KeySimulation(const keys::OwnershipOptions& options,
                             JoinPolicy join_policy)
    : options_(options), join_policy_(join_policy) {
  for (int i = 0; i < kNodes; ++i)
    Add();
  for (const auto& node : nodes_) {
    for (const auto& other : nodes_)
      node->view[other->id] = OwnerState::kServing;
  }
  UpdateReachability();
  // Long enough for every node to be past its settling time and reuse window.
  for (int i = 0; i < 300; ++i)
    AdvanceTime();
}

bool KeySimulation::RunsTwice(const std::vector<KeyEvent>& events) {
  for (const KeyEvent& event : events)
    ApplyEvent(event);
  return std::ranges::any_of(keys_,
                             [](const Key& key) { return key.runs > 1; });
}

void KeySimulation::ApplyEvent(const KeyEvent& event) {
  Node& node = *nodes_[event.pick % nodes_.size()];
  switch (event.kind) {
    case KeyEventKind::kAdvanceTime:
    case KeyEventKind::kCount:
      for (uint32_t i = 0; i <= event.pick % 6; ++i)
        AdvanceTime();
      return;
    case KeyEventKind::kFirstUse:
      keys_.push_back({ScopeOf(keys_.size()).Hash(), now_, 0});
      SendRequest(keys_.size() - 1, event.pick);
      return;
    case KeyEventKind::kRepeatedUse:
      if (!keys_.empty())
        SendRequest(event.pick / 7 % keys_.size(), event.pick);
      return;
    case KeyEventKind::kRequestEnds:
      EndRequest(event.pick);
      return;
    case KeyEventKind::kFreeze:
      node.is_frozen = true;
      break;
    case KeyEventKind::kResume:
      node.is_frozen = false;
      break;
    case KeyEventKind::kReplace: {
      const bool is_split = std::ranges::any_of(
          nodes_, [](const auto& n) { return n->is_partitioned; });
      if (is_split && join_policy_ == JoinPolicy::kNotWhilePartitioned)
        return;
      const NodeId gone = node.id;
      std::erase_if(nodes_, [&](const auto& n) { return n->id == gone; });
      Add().view = nodes_.front()->view;
      break;
    }
    case KeyEventKind::kPartition:
      for (const auto& each : nodes_)
        each->is_partitioned = random_() % 2 == 0;
      break;
    case KeyEventKind::kHealPartition:
      for (const auto& each : nodes_)
        each->is_partitioned = false;
      break;
  }
  UpdateReachability();
}

KeySimulation::Node& KeySimulation::Add() {
  const NodeId id{++last_id_};
  nodes_.push_back(std::make_unique<Node>(
      Node{.id = id, .ownership = keys::KeyOwnership(id, options_)}));
  return *nodes_.back();
}

KeySimulation::Node* KeySimulation::Find(NodeId id) {
  const auto found = std::ranges::find(nodes_, id, &Node::id);
  return found == nodes_.end() ? nullptr : found->get();
}

bool KeySimulation::CanReach(const Node& a, const Node& b) const {
  return !b.is_frozen && a.is_partitioned == b.is_partitioned;
}

void KeySimulation::UpdateReachability() {
  for (const auto& observer : nodes_) {
    for (uint64_t id = 1; id <= last_id_; ++id) {
      const Node* subject = Find(NodeId{id});
      const bool reaches = subject && CanReach(*observer, *subject);
      const auto pair = std::pair(observer->id, NodeId{id});
      const auto known = reachability_.try_emplace(pair, false).first;
      if (known->second != reaches)
        ScheduleViewUpdate(observer->id, NodeId{id}, reaches);
      known->second = reaches;
    }
  }
}

void KeySimulation::ScheduleViewUpdate(NodeId observer,
                                       NodeId subject,
                                       bool is_reached) {
  std::erase_if(view_updates_, [&](const ViewUpdate& view_update) {
    return view_update.observer == observer && view_update.subject == subject;
  });
  if (is_reached) {
    view_updates_.push_back({now_ + milliseconds(random_() % kMaxPropagationMs),
                             observer, subject, OwnerState::kServing});
    return;
  }
  const auto detection_delay =
      milliseconds(random_() % (kMaxPropagationMs - kSuspicionMs));
  view_updates_.push_back(
      {now_ + detection_delay, observer, subject, OwnerState::kSuspected});
  view_updates_.push_back({now_ + detection_delay + milliseconds(kSuspicionMs),
                           observer, subject, std::nullopt});
}

void KeySimulation::AdvanceTime() {
  now_ += kTick;
  for (const auto& node : nodes_) {
    if (node->is_frozen)
      continue;
    for (const ViewUpdate& view_update : view_updates_) {
      if (view_update.observer != node->id || view_update.when > now_)
        continue;
      if (view_update.state)
        node->view[view_update.subject] = *view_update.state;
      else
        node->view.erase(view_update.subject);
    }
    std::vector<keys::OwnerNode> view;
    for (const auto& [id, state] : node->view)
      view.push_back({id, state});
    node->ownership.SetView(std::move(view), now_);
    node->ledger.Expire(now_);
  }
}

void KeySimulation::SendRequest(size_t at, uint32_t pick) {
  Key& key = keys_[at];
  ++uses_;
  // Any node may be the ingress, including one with an outdated view.
  const Node& ingress = *nodes_[pick % nodes_.size()];
  std::vector<keys::OwnerNode> view;
  for (const auto& [id, state] : ingress.view)
    view.push_back({id, state});
  const auto target = keys::OwnerOf(key.hash, view);
  Node* owner = target ? Find(*target) : nullptr;
  if (!owner || owner->is_frozen)
    return;
  std::optional<base::Duration> age;
  if (pick % 3 != 0)
    age = now_ - key.first_use;
  if (!age && now_ - key.first_use >= options_.reuse_window)
    return;  // Callers do not reuse a key after the reuse window.
  if (!owner->ledger.Contains(ScopeOf(at)) &&
      owner->ownership.StatusOf(key.hash, age, now_).status !=
          keys::OwnershipStatus::kMayRun) {
    return;
  }
  if (owner->ledger.Begin(ScopeOf(at), 1, now_).verdict !=
      keys::ClaimVerdict::kRun) {
    return;
  }
  ++key.runs;
  ++runs_;
  running_.push_back({owner->id.value, at});
}

void KeySimulation::EndRequest(uint32_t pick) {
  if (running_.empty())
    return;
  const auto at = running_.begin() + pick % running_.size();
  const Running ended = *at;
  running_.erase(at);
  Node* node = Find(NodeId{ended.node});
  if (!node)
    return;
  if (pick % 4 == 0)
    node->ledger.OnUncertain(ScopeOf(ended.key), now_);
  else
    node->ledger.OnAnswer(ScopeOf(ended.key), {.body = "done"}, now_);
}

}  // namespace chestnutport::test
