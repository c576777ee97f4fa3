// Guards against a node that forgets at its restart which server has told it
// that it leaves.
#include <catch2/catch.hpp>

#include "support/gossip_fleet.h"

namespace chestnutport::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServerDeparture kDeparture{"i-1", milliseconds(1000), true};

bool KnowsDeparture(const GossipFleet& fleet, size_t slot) {
  for (const membership::Member& predecessor : fleet.predecessors(slot)) {
    if (predecessor.departure == kDeparture)
      return true;
  }
  return false;
}

TEST_CASE("a node is killed after its server has told it that it leaves") {
  constexpr size_t kSlot = 3;
  const auto seed = GENERATE(range(1, 6));
  GossipFleet fleet({.members = GENERATE(size_t{4}, size_t{12}, size_t{100}),
                     .seed = static_cast<uint64_t>(seed),
                     .loss = GENERATE(0.0, 0.05)});
  fleet.RunFor(seconds(1));
  fleet.Depart(kSlot, kDeparture);
  const auto delay = GENERATE(milliseconds(2), milliseconds(200));
  fleet.RunFor(delay);
  fleet.Kill(kSlot);
  const auto knows = [&] { return KnowsDeparture(fleet, kSlot); };

  SECTION("and started again, soon or after it was declared gone") {
    fleet.RunFor(
        GENERATE(milliseconds(50), milliseconds(3500), milliseconds(20'000)));
    fleet.Start(kSlot, 0);
    // A lost join is repeated.
    CHECK(fleet.RunUntil(
        [&] {
          if (!knows())
            fleet.ContactSeed(kSlot, 1);
          return knows();
        },
        seconds(1)));
  }
}

TEST_CASE("a node that starts at the address of one whose server goes on") {
  GossipFleet fleet({.members = 12});
  fleet.RunFor(seconds(1));
  fleet.Kill(3);
  fleet.Start(3, 0);
  fleet.RunFor(seconds(3));
  CHECK(fleet.predecessors(3).empty());
}

}  // namespace
}  // namespace chestnutport::test
