// Tests which node owns an idempotency key, and when it may run it.
#include "keys/key_ownership.h"

#include <catch2/catch.hpp>
#include <map>

namespace chestnutport::test {
namespace {

using base::NodeId;
using keys::KeyOwnership;
using keys::OwnerNode;
using keys::OwnershipStatus;
using keys::OwnerState;
using std::chrono::seconds;

const base::Instant kStart = base::Instant(std::chrono::hours(1));
constexpr uint64_t kKey = 77;

std::vector<OwnerNode> Nodes(int count) {
  std::vector<OwnerNode> nodes;
  for (int i = 1; i <= count; ++i)
    nodes.push_back({NodeId{static_cast<uint64_t>(i)}});
  return nodes;
}

TEST_CASE("the owner of a key") {
  const auto nodes = Nodes(9);
  const NodeId owner = *keys::OwnerOf(kKey, nodes);

  SECTION("stays the same when another node leaves") {
    auto fewer = nodes;
    std::erase_if(fewer, [&](const OwnerNode& node) {
      return node.id.value == owner.value % 9 + 1;
    });
    CHECK(keys::OwnerOf(kKey, fewer) == owner);
  }
  SECTION("changes when it drains") {
    auto draining = nodes;
    draining[owner.value - 1].state = OwnerState::kDraining;
    CHECK(keys::OwnerOf(kKey, draining) != owner);
  }
  SECTION("is distributed evenly over the nodes") {
    std::map<uint64_t, int> owned;
    for (uint64_t key = 0; key < 9000; ++key)
      ++owned[keys::OwnerOf(key * 0x9E3779B97F4A7C15, nodes)->value];
    for (const auto& [id, count] : owned)
      CHECK((count > 800 && count < 1200));
  }
}

TEST_CASE("a node that owns a key") {
  const keys::OwnershipOptions options;
  const auto nodes = Nodes(5);
  const NodeId self = *keys::OwnerOf(kKey, nodes);
  KeyOwnership ownership(self, options);
  base::Instant now = kStart;
  const auto pass = [&](base::Duration time, const auto& view) {
    for (const base::Instant end = now + time; now < end;) {
      now += seconds(1);
      ownership.SetView(view, now);
    }
  };
  ownership.SetView(nodes, now);
  const auto status = [&](std::optional<base::Duration> age) {
    return ownership.StatusOf(kKey, age, now).status;
  };

  SECTION("runs nothing before earlier views have expired") {
    CHECK(status(seconds(0)) == OwnershipStatus::kSettling);
    pass(options.settling_time, nodes);
    CHECK(status(std::nullopt) == OwnershipStatus::kUncertain);
    pass(options.max_transit, nodes);

    SECTION("then runs keys known to be younger than its ownership") {
      CHECK(status(seconds(0)) == OwnershipStatus::kMayRun);
      CHECK(status(seconds(1)) == OwnershipStatus::kUncertain);
    }
    SECTION("and after the reuse window runs keys of unknown age") {
      pass(options.reuse_window, nodes);
      CHECK(status(std::nullopt) == OwnershipStatus::kMayRun);
      CHECK(status(options.reuse_window) == OwnershipStatus::kUncertain);
    }
  }

  SECTION("after a long time") {
    pass(options.reuse_window + options.settling_time, nodes);
    REQUIRE(status(std::nullopt) == OwnershipStatus::kMayRun);

    SECTION("does not use an expired view") {
      now += options.view_validity + seconds(1);
      CHECK(status(seconds(0)) == OwnershipStatus::kNoValidView);
      SECTION("and settles again after a pause") {
        ownership.SetView(nodes, now);
        CHECK(status(seconds(0)) == OwnershipStatus::kSettling);
      }
    }
    SECTION("runs nothing in a minority partition") {
      auto view = nodes;
      int suspected = 0;
      for (OwnerNode& node : view) {
        if (node.id != self && ++suspected <= 3)
          node.state = OwnerState::kSuspected;
      }
      pass(seconds(1), view);
      CHECK(status(std::nullopt) == OwnershipStatus::kNoValidView);
    }
    SECTION("does not count drained nodes for the majority") {
      auto view = nodes;
      for (OwnerNode& node : view) {
        if (node.id != self)
          node.state = OwnerState::kDraining;
      }
      pass(seconds(1), view);
      pass(seconds(1), std::vector<OwnerNode>{{self}});
      CHECK(status(std::nullopt) == OwnershipStatus::kMayRun);
    }
  }
}

}  // namespace
}  // namespace chestnutport::test
