// Distribution of an evacuation in a fleet, in virtual time. Few nodes read the
// store; the others receive it by gossip.
#include <catch2/catch.hpp>

#include "support/gossip_fleet.h"

namespace chestnutport::test {
namespace {

using evacuation::Evacuations;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Well within the five seconds guaranteed to operators.
constexpr seconds kDistributionLimit(2);
// After this time without a fault, a node counts as connected.
constexpr seconds kReconnectTime(3);
const Evacuations kOne{.as_of = 10, .data_centres = {"dc-1"}};
const Evacuations kEnded{.as_of = 20, .data_centres = {}};

bool AllNodesHold(GossipFleet& fleet, const Evacuations& expected) {
  for (size_t slot = 0; slot < fleet.size(); ++slot) {
    if (fleet.IsUp(slot) && fleet.gossip(slot).evacuations() != expected)
      return false;
  }
  return true;
}

TEST_CASE("an evacuation read by one node is distributed to all") {
  const size_t members = GENERATE(3, 30, 300);
  GossipFleet fleet({.members = members, .seed = 5, .loss = 0.01});
  fleet.RunFor(seconds(2));
  fleet.ReadEvacuations(0, kOne);
  CHECK(fleet.RunUntil([&] { return AllNodesHold(fleet, kOne); },
                       kDistributionLimit));

  SECTION("and so is its end") {
    fleet.ReadEvacuations(members - 1, kEnded);
    CHECK(fleet.RunUntil([&] { return AllNodesHold(fleet, kEnded); },
                         kDistributionLimit));
  }
  SECTION("a starting node receives it from its first contact") {
    fleet.Kill(2);
    fleet.RunFor(seconds(1));
    fleet.Start(2, 1);
    CHECK(
        fleet.RunUntil([&] { return AllNodesHold(fleet, kOne); }, seconds(1)));
  }
  SECTION("a node that was isolated receives it after the partition") {
    const auto is_cut = [](size_t from, size_t to) {
      return (from == 1) != (to == 1);
    };
    fleet.Partition(is_cut);
    fleet.ReadEvacuations(0, kEnded);
    fleet.RunFor(seconds(3));
    CHECK(fleet.gossip(1).evacuations() == kOne);
    fleet.Partition(nullptr);
    CHECK(fleet.RunUntil([&] { return AllNodesHold(fleet, kEnded); },
                         kReconnectTime + kDistributionLimit));
  }
}

TEST_CASE("evacuations cause almost no traffic while nothing changes") {
  GossipFleet fleet({.members = 30, .seed = 7});
  fleet.RunFor(seconds(5));
  const uint64_t before = fleet.traffic().datagrams;
  fleet.RunFor(seconds(5));
  const uint64_t idle = fleet.traffic().datagrams - before;
  // Readers read repeatedly without finding a change.
  for (uint64_t as_of = 1; as_of <= 100; ++as_of)
    fleet.ReadEvacuations(as_of % 30, {.as_of = as_of, .data_centres = {}});
  const uint64_t start = fleet.traffic().datagrams;
  fleet.RunFor(seconds(5));
  CHECK(fleet.traffic().datagrams - start < idle + idle / 10);
}

}  // namespace
}  // namespace chestnutport::test
