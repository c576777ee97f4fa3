// Evacuations received from the store and from peers in any order. Guards
// against nodes that do not converge to the latest state of the store.
#include "evacuation/local_evacuations.h"

#include <catch2/catch.hpp>

namespace chestnutport::evacuation {
namespace {

const Evacuations kNone{.as_of = 20, .data_centres = {}};
const Evacuations kOne{.as_of = 10, .data_centres = {"poa-b"}};
const Evacuations kBoth{.as_of = 15, .data_centres = {"poa-a", "poa-b"}};

TEST_CASE("a read that changes something is announced") {
  LocalEvacuations local;
  CHECK(local.OnStoreRead(kOne));
  CHECK(local.current() == kOne);

  SECTION("a read that changes nothing is not") {
    CHECK_FALSE(local.OnStoreRead({.as_of = 12, .data_centres = {"poa-b"}}));
    CHECK(local.current().as_of == 10);
  }
  SECTION("a second data centre") {
    CHECK(local.OnStoreRead(kBoth));
    CHECK(local.current().Contains("poa-a"));
  }
  SECTION("the end of the evacuation") {
    CHECK(local.OnStoreRead(kNone));
    CHECK_FALSE(local.current().Contains("poa-b"));
  }
}

TEST_CASE(
    "a delayed response of the store does not restore an ended evacuation") {
  LocalEvacuations local;
  local.OnStoreRead(kOne);
  local.OnStoreRead(kNone);
  CHECK_FALSE(local.OnStoreRead(kBoth));
  CHECK(local.current() == kNone);
}

TEST_CASE("updates from peers are ordered by the store's revision") {
  LocalEvacuations local;

  SECTION("a newer one is applied and announced") {
    CHECK(local.OnPeerReport(kOne));
    CHECK_FALSE(local.OnPeerReport(kOne));
    CHECK(local.OnPeerReport(kNone));
    CHECK(local.current() == kNone);
  }
  SECTION("an older one is ignored") {
    local.OnPeerReport(kNone);
    CHECK_FALSE(local.OnPeerReport(kOne));
    CHECK(local.current() == kNone);
  }
  SECTION("the empty state of a node of an older version is ignored") {
    local.OnPeerReport(kOne);
    CHECK_FALSE(local.OnPeerReport({}));
    CHECK(local.current() == kOne);
  }
}

// An isolated node misses the end of an evacuation. All other nodes are
// replaced meanwhile, and the isolated one then reconnects with the outdated
// state.
TEST_CASE(
    "outdated state of an isolated node is corrected by readers of the store") {
  LocalEvacuations reader;
  CHECK_FALSE(reader.OnStoreRead(kNone));
  LocalEvacuations isolated;
  isolated.OnPeerReport(kOne);
  CHECK(reader.OnPeerReport(isolated.current()));
  CHECK(reader.current() == kNone);
  CHECK(isolated.OnPeerReport(reader.current()));
  CHECK(isolated.current() == kNone);
}

}  // namespace
}  // namespace chestnutport::evacuation
