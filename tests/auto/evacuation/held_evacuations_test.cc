// Nodes hear of evacuations from the store and from each other, in any order;
// all come to hold what the store says last.
#include "evacuation/held_evacuations.h"

#include <catch2/catch.hpp>

namespace chestnutport::evacuation {
namespace {

const Evacuations kNone{.as_of = 20, .data_centres = {}};
const Evacuations kOne{.as_of = 10, .data_centres = {"poa-b"}};
const Evacuations kBoth{.as_of = 15, .data_centres = {"poa-a", "poa-b"}};

TEST_CASE("a reading that changes something is told to others") {
  HeldEvacuations held;
  CHECK(held.Read(kOne));
  CHECK(held.held() == kOne);

  SECTION("one that changes nothing is not") {
    CHECK_FALSE(held.Read({.as_of = 12, .data_centres = {"poa-b"}}));
    CHECK(held.held().as_of == 10);
  }
  SECTION("a second data centre") {
    CHECK(held.Read(kBoth));
    CHECK(held.held().Contains("poa-a"));
  }
  SECTION("the end of it") {
    CHECK(held.Read(kNone));
    CHECK_FALSE(held.held().Contains("poa-b"));
  }
}

TEST_CASE("a late answer of the store does not bring an evacuation back") {
  HeldEvacuations held;
  held.Read(kOne);
  held.Read(kNone);
  CHECK_FALSE(held.Read(kBoth));
  CHECK(held.held() == kNone);
}

TEST_CASE("what another node holds counts by the store's revision") {
  HeldEvacuations held;

  SECTION("it is newer: it is taken over, and told on") {
    CHECK(held.Hear(kOne));
    CHECK_FALSE(held.Hear(kOne));
    CHECK(held.Hear(kNone));
    CHECK(held.held() == kNone);
  }
  SECTION("it is older") {
    held.Hear(kNone);
    CHECK_FALSE(held.Hear(kOne));
    CHECK(held.held() == kNone);
  }
  SECTION("a node of an older version knows nothing") {
    held.Hear(kOne);
    CHECK_FALSE(held.Hear({}));
    CHECK(held.held() == kOne);
  }
}

// All nodes were replaced after an evacuation had ended, but for one that was
// cut off; it comes back with what it knew.
TEST_CASE("one that was cut off is put right by those that read the store") {
  HeldEvacuations reader;
  CHECK_FALSE(reader.Read(kNone));
  HeldEvacuations late;
  late.Hear(kOne);
  CHECK(reader.Hear(late.held()));
  CHECK(reader.held() == kNone);
  CHECK(late.Hear(reader.held()));
  CHECK(late.held() == kNone);
}

}  // namespace
}  // namespace chestnutport::evacuation
