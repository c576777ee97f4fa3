// A fleet whose VMs all lost power together finds itself again. Callers wait
// from the first moment, so what counts is how many servers each node knows in
// the first second: requests crowd on those that are known.
#include <catch2/catch.hpp>

#include "support/gossip_fleet.h"

namespace chestnutport::membership {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMembers = 295;
constexpr size_t kSeeds = 10;  // Two in each of five data centres.
constexpr milliseconds kStartsWithin(300);

// Of all members, the mean share that a node knows.
double KnownShare(test::GossipFleet& fleet) {
  double known = 0;
  for (size_t slot = 0; slot < kMembers; ++slot)
    known += static_cast<double>(fleet.gossip(slot).Members().size());
  return known / kMembers / kMembers;
}

void StartAll(test::GossipFleet& fleet) {
  for (size_t slot = 0; slot < kMembers; ++slot)
    fleet.Kill(slot);
  const base::Duration step = base::Duration(kStartsWithin) / kMembers;
  for (size_t slot = 0; slot < kMembers; ++slot) {
    // The seeds are known from before; they start like the others.
    const size_t known = std::max<size_t>(1, std::min(kSeeds, slot));
    fleet.Start(slot, (slot * 31 + 7) % known);
    fleet.ContactSeed(slot, (slot * 17 + 3) % known);
    fleet.ContactSeed(slot, (slot * 13 + 1) % known);
    fleet.RunFor(step);
  }
}

// The bytes that a node sent on the mean, pulls and their answers included.
double BytesOfNode(const test::GossipFleet& fleet) {
  const test::GossipTraffic& traffic = fleet.traffic();
  return static_cast<double>(traffic.datagram_bytes + traffic.pull_bytes) /
         kMembers;
}

// With a burst of 40 kB in place of 160 kB: 0.40 after 250 ms, 0.67 after 500
// ms and 0.76 after a second, for 91 kB in two seconds, as the news that could
// not be sent had to be pulled. With it 0.92, 0.99 and 1.00, for 128 kB.
TEST_CASE("a fleet that lost all power knows itself within a second") {
  test::GossipFleet fleet({.members = kMembers, .seed = 5, .converged = false});
  StartAll(fleet);
  fleet.RunFor(milliseconds(250));
  CHECK(KnownShare(fleet) > 0.85);
  fleet.RunFor(milliseconds(250));
  CHECK(KnownShare(fleet) > 0.97);
  fleet.RunFor(milliseconds(500));
  CHECK(KnownShare(fleet) > 0.99);

  SECTION("for a bounded number of bytes") {
    fleet.RunFor(std::chrono::seconds(1));
    CHECK(BytesOfNode(fleet) < 150'000);
  }
}

}  // namespace
}  // namespace chestnutport::membership
