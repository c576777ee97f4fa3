// Nodes hear of evacuations from the store and from each other, in any order;
// all come to hold what the store says last.
#include "evacuation/local_evacuations.h"

#include <catch2/catch.hpp>

namespace chestnutport::evacuation {
namespace {

const Evacuations kNone{.as_of = 20, .data_centres = {}};
const Evacuations kOne{.as_of = 10, .data_centres = {"poa-b"}};
const Evacuations kBoth{.as_of = 15, .data_centres = {"poa-a", "poa-b"}};

TEST_CASE("a reading that changes something is told to others") {
  LocalEvacuations local;
  CHECK(local.OnStoreRead(kOne));
  CHECK(local.current() == kOne);

  SECTION("one that changes nothing is not") {
    CHECK_FALSE(local.OnStoreRead({.as_of = 12, .data_centres = {"poa-b"}}));
    CHECK(local.current().as_of == 10);
  }
  SECTION("a second data centre") {
    CHECK(local.OnStoreRead(kBoth));
    CHECK(local.current().Contains("poa-a"));
  }
  SECTION("the end of it") {
    CHECK(local.OnStoreRead(kNone));
    CHECK_FALSE(local.current().Contains("poa-b"));
  }
}

TEST_CASE("a late answer of the store does not bring an evacuation back") {
  LocalEvacuations local;
  local.OnStoreRead(kOne);
  local.OnStoreRead(kNone);
  CHECK_FALSE(local.OnStoreRead(kBoth));
  CHECK(local.current() == kNone);
}

TEST_CASE("what another node holds counts by the store's revision") {
  LocalEvacuations local;

  SECTION("it is newer: it is taken over, and told on") {
    CHECK(local.OnPeerReport(kOne));
    CHECK_FALSE(local.OnPeerReport(kOne));
    CHECK(local.OnPeerReport(kNone));
    CHECK(local.current() == kNone);
  }
  SECTION("it is older") {
    local.OnPeerReport(kNone);
    CHECK_FALSE(local.OnPeerReport(kOne));
    CHECK(local.current() == kNone);
  }
  SECTION("a node of an older version knows nothing") {
    local.OnPeerReport(kOne);
    CHECK_FALSE(local.OnPeerReport({}));
    CHECK(local.current() == kOne);
  }
}

// All nodes were replaced after an evacuation had ended, but for one that was
// cut off; it comes back with what it knew.
TEST_CASE("one that was cut off is put right by those that read the store") {
  LocalEvacuations reader;
  CHECK_FALSE(reader.OnStoreRead(kNone));
  LocalEvacuations late;
  late.OnPeerReport(kOne);
  CHECK(reader.OnPeerReport(late.current()));
  CHECK(reader.current() == kNone);
  CHECK(late.OnPeerReport(reader.current()));
  CHECK(late.current() == kNone);
}

}  // namespace
}  // namespace chestnutport::evacuation
