// Gossip of many nodes in virtual time. All results are reproducible by their
// seed.
#include <catch2/catch.hpp>
#include <set>

#include "duties/seed_duty.h"
#include "support/gossip_fleet.h"

namespace chestnutport::test {
namespace {

using membership::MemberChange;
using membership::MemberState;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Records which nodes have stopped sending requests to one member, and when the
// last one did.
struct RemovalObserver {
  base::NodeId id;
  std::set<size_t> informed;
  base::Instant last;

  void On(GossipFleet& fleet, size_t observer, const MemberChange& change) {
    const bool is_out = change.member.state != MemberState::kAlive ||
                        change.member.server->draining;
    if (change.member.id == id && is_out && fleet.member(observer).id != id &&
        informed.insert(observer).second)
      last = fleet.now();
  }
};

TEST_CASE("nodes that know one seed discover each other") {
  const size_t members = GENERATE(1, 2, 3, 30, 100);
  GossipFleet fleet({.members = members, .converged = false});
  for (size_t slot = 1; slot < members; ++slot)
    fleet.Start(slot, 0);
  CHECK(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(20)));
}

// A probe of a member that has not heard of the departure found the new node,
// which then was known to all, without a record of any of them.
TEST_CASE("a node without seeds gets to know those who probe its address") {
  GossipFleet fleet({.members = 100, .seed = GENERATE(range(1, 21))});
  fleet.RunFor(seconds(5));
  fleet.Leave(7);
  fleet.RunFor(milliseconds(500));
  fleet.StartWithoutSeed(7);
  fleet.RunFor(seconds(6));
  CHECK(fleet.gossip(7).Members().size() == 100);
  CHECK(fleet.HasConverged());
}

TEST_CASE("a fleet of 100 nodes detects changes") {
  GossipFleet fleet({.members = 100, .seed = GENERATE(1, 2, 3)});
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.HasConverged());
  REQUIRE(fleet.false_positives().suspected == 0);
  RemovalObserver observer_of_7{fleet.member(7).id};
  fleet.set_on_change([&](size_t observer, const MemberChange& change) {
    observer_of_7.On(fleet, observer, change);
  });
  const base::Instant start = fleet.now();

  SECTION("a killed member is out of rotation everywhere within 3 s") {
    fleet.Kill(7);
    fleet.RunFor(seconds(20));
    CHECK(observer_of_7.informed.size() == 99);
    CHECK(observer_of_7.last - start <= seconds(3));
    CHECK(fleet.HasConverged());
    CHECK(fleet.false_positives().gone == 0);
  }

  SECTION("a draining member is known everywhere within 1 s") {
    fleet.Drain(7);
    fleet.RunFor(seconds(2));
    CHECK(observer_of_7.informed.size() == 99);
    CHECK(observer_of_7.last - start <= seconds(1));
  }

  SECTION("a leaving member is out of rotation everywhere within 1 s") {
    fleet.Leave(7);
    fleet.RunFor(seconds(2));
    CHECK(observer_of_7.informed.size() == 99);
    CHECK(observer_of_7.last - start <= seconds(1));
  }

  SECTION("a node without seeds is found at the address of one that left") {
    fleet.Leave(7);
    fleet.RunFor(milliseconds(500));
    fleet.StartWithoutSeed(7);
    fleet.RunFor(seconds(3));
    CHECK(fleet.gossip(7).Members().size() == 100);
    CHECK(fleet.HasConverged());
  }

  SECTION("a node without seeds is found at the address of a killed one") {
    fleet.Kill(7);
    fleet.RunFor(seconds(12));
    fleet.StartWithoutSeed(7);
    fleet.RunFor(seconds(3));
    CHECK(fleet.gossip(7).Members().size() == 100);
  }

  SECTION("a node at the address of a killed one is a different member") {
    const base::NodeId old = fleet.member(7).id;
    fleet.Start(7, 20);
    fleet.RunFor(seconds(3));
    CHECK(fleet.HasConverged());
    CHECK(observer_of_7.informed.size() >= 99);
    for (size_t slot = 0; slot < fleet.size(); ++slot) {
      const auto* entry = fleet.gossip(slot).table().Find(old);
      CHECK((!entry || entry->state == MemberState::kLeft));
    }
  }

  SECTION("a resumed member returns with a higher incarnation") {
    fleet.Freeze(7);
    fleet.RunFor(seconds(15));
    CHECK(observer_of_7.informed.size() == 99);
    fleet.Resume(7);
    CHECK(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(15)));
    CHECK(fleet.gossip(7).incarnation() > 1);
    CHECK(fleet.gossip(7).counters().suspected == 0);
  }

  SECTION("a revision reaches all nodes if each announces it") {
    std::set<size_t> reached;
    fleet.set_on_revision([&](size_t observer, uint64_t revision) {
      reached.insert(observer);
      fleet.AnnounceRevision(observer, revision);
    });
    fleet.AnnounceRevision(3, 12);
    CHECK(fleet.RunUntil([&] { return reached.size() == 99; }, seconds(2)));
  }

  SECTION("regions rejoin after a partition of three minutes") {
    fleet.Partition([&](size_t a, size_t b) {
      return (fleet.RegionOf(a) < 2) != (fleet.RegionOf(b) < 2);
    });
    fleet.RunFor(minutes(3));
    CHECK_FALSE(fleet.HasConverged());
    fleet.Partition(nullptr);
    fleet.false_positives() = {};
    CHECK(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(60)));
    CHECK(fleet.false_positives().gone == 0);
  }
}

TEST_CASE("bad links do not remove a live member") {
  GossipFleet fleet({.members = 60,
                     .seed = GENERATE(1, 2),
                     .loss = 0.05,
                     .duplication = 0.05,
                     .jitter = milliseconds(50)});
  fleet.RunFor(minutes(2));
  CHECK(fleet.false_positives().gone == 0);
  fleet.Kill(11);
  fleet.Drain(12);
  fleet.RunFor(seconds(20));
  fleet.SetLoss(0);
  CHECK(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(20)));
}

TEST_CASE("the idle traffic of a node does not grow with the fleet") {
  const auto bytes_per_node = [](size_t members) {
    GossipFleet fleet({.members = members});
    fleet.RunFor(seconds(10));
    CHECK(fleet.false_positives().suspected == 0);
    const GossipTraffic& traffic = fleet.traffic();
    return static_cast<double>(traffic.datagram_bytes + traffic.pull_bytes) /
           static_cast<double>(members) / 10;
  };
  const double small = bytes_per_node(30);
  CHECK(bytes_per_node(500) <= 1.3 * small);
  CHECK(small <= 3000);
}

TEST_CASE("two members of each data centre write its seed entries") {
  GossipFleet fleet({.members = 60});
  std::multiset<std::string> maintainers;
  for (size_t slot = 0; slot < fleet.size(); ++slot) {
    const auto members = fleet.gossip(slot).Members();
    if (const auto duty = duties::SeedDuty(fleet.member(slot), members))
      maintainers.insert(fleet.member(slot).data_centre + "/" +
                         std::to_string(*duty));
  }
  CHECK(maintainers.size() == duties::kSeedsPerDataCentre * 14);
  CHECK(std::set<std::string>(maintainers.begin(), maintainers.end()).size() ==
        maintainers.size());

  SECTION("others take over from members that have lost the store") {
    const auto before = fleet.gossip(0).Members();
    auto members = before;
    for (auto& member : members)
      member.has_lost_store = duties::SeedDuty(member, before).has_value();
    const auto able = std::ranges::count_if(members, [&](const auto& member) {
      return !member.has_lost_store && duties::SeedDuty(member, members);
    });
    CHECK(able == duties::kSeedsPerDataCentre * 14);
  }
}

}  // namespace
}  // namespace chestnutport::test
