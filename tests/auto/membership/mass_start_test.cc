// Recovery of a fleet after all VMs lost power together. Callers send requests
// from the start, so a node with few known servers in the first second
// overloads them.
#include <catch2/catch.hpp>

#include "support/gossip_fleet.h"

namespace chestnutport::membership {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMembers = 295;
constexpr size_t kWholeFleet = 984;
// Bytes of a member's record in an update.
constexpr double kRecordBytes = 110;
constexpr size_t kSeeds = 10;  // Two in each of five data centres.
constexpr milliseconds kStartsWithin(300);

// Returns the mean share of all members that are known to a node.
double KnownShare(test::GossipFleet& fleet) {
  const auto members = static_cast<double>(fleet.size());
  double known = 0;
  for (size_t slot = 0; slot < fleet.size(); ++slot)
    known += static_cast<double>(fleet.gossip(slot).Members().size());
  return known / members / members;
}

void StartAll(test::GossipFleet& fleet) {
  for (size_t slot = 0; slot < fleet.size(); ++slot)
    fleet.Kill(slot);
  const base::Duration step =
      base::Duration(kStartsWithin) / static_cast<int64_t>(fleet.size());
  for (size_t slot = 0; slot < fleet.size(); ++slot) {
    // The seeds are known from the time before; they start like the other
    // nodes.
    const size_t known = std::max<size_t>(1, std::min(kSeeds, slot));
    fleet.Start(slot, (slot * 31 + 7) % known);
    fleet.ContactSeed(slot, (slot * 17 + 3) % known);
    fleet.ContactSeed(slot, (slot * 13 + 1) % known);
    fleet.RunFor(step);
  }
}

// Returns the mean bytes that a node sent, including pulls and their responses.
double BytesOfNode(const test::GossipFleet& fleet) {
  const test::GossipTraffic& traffic = fleet.traffic();
  return static_cast<double>(traffic.datagram_bytes + traffic.pull_bytes) /
         kMembers;
}

// Guards against a burst limit that is too small: updates that cannot be sent
// then have to be pulled. With 40 kB, a node knew 0.40 of the members after 250
// ms, 0.67 after 500 ms and 0.76 after one second, for 91 kB in two seconds;
// with 160 kB 0.92, 0.99 and 1.00, for 128 kB.
TEST_CASE("nodes of a restarted fleet know each other within a second") {
  test::GossipFleet fleet({.members = kMembers, .seed = 5, .converged = false});
  StartAll(fleet);
  fleet.RunFor(milliseconds(250));
  CHECK(KnownShare(fleet) > 0.85);
  fleet.RunFor(milliseconds(250));
  CHECK(KnownShare(fleet) > 0.97);
  fleet.RunFor(milliseconds(500));
  CHECK(KnownShare(fleet) > 0.99);

  SECTION("the bytes sent are bounded") {
    fleet.RunFor(std::chrono::seconds(1));
    CHECK(BytesOfNode(fleet) < 150'000);
  }
}

// Guards against bytes between data centres that grow with the square of the
// members: each update was sent there by each member, and views were pulled
// from any data centre. A node knew 0.84 of the members after a second, for 135
// kB between data centres.
TEST_CASE("a start of the whole fleet sends little between data centres") {
  test::GossipFleet fleet(
      {.members = kWholeFleet, .seed = 5, .converged = false});
  StartAll(fleet);
  // Nodes whose ping was not answered contact the seeds again.
  for (int round = 0; round < 8; ++round) {
    for (size_t slot = 0; slot < kWholeFleet; ++slot) {
      if (fleet.gossip(slot).Members().size() == 1)
        fleet.ContactSeed(slot, (slot * 17 + 3) % kSeeds);
    }
    fleet.RunFor(milliseconds(125));
  }
  CHECK(KnownShare(fleet) > 0.85);
  // Less than one copy of each record for each node.
  const auto bytes =
      static_cast<double>(fleet.traffic().bytes_between_data_centres);
  CHECK(bytes / kWholeFleet < kWholeFleet * kRecordBytes);
}

}  // namespace
}  // namespace chestnutport::membership
