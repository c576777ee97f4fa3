// The load of a server on its way between nodes.
#include "wire/load_report.h"

#include <catch2/catch.hpp>

namespace chestnutport::wire {
namespace {

TEST_CASE("a load report arrives as it was sent") {
  LoadReport sent{.in_flight = 3, .limit = 8, .queued = 2};
  sent.expected_wait = std::chrono::milliseconds(40);

  SECTION("with the strain of a server that told it") {
    sent.strain = 2.5;
    const auto read = LoadReport::FromHeader(sent.ToHeader());
    REQUIRE(read);
    CHECK(read->strain == 2.5);
    CHECK(read->in_flight == 3);
    CHECK(read->limit == 8);
    CHECK(read->queued == 2);
    CHECK(read->expected_wait == std::chrono::milliseconds(40));
  }
  SECTION("and without one if it is not known, which is not a good one") {
    const auto read = LoadReport::FromHeader(sent.ToHeader());
    REQUIRE(read);
    CHECK_FALSE(read->strain);
  }
}

TEST_CASE("what is no load report is not read as one") {
  CHECK_FALSE(LoadReport::FromHeader(""));
  CHECK_FALSE(LoadReport::FromHeader("3 8 2"));
  CHECK_FALSE(LoadReport::FromHeader("3 8 2 40 many"));
  CHECK_FALSE(LoadReport::FromHeader("3 8 2 40 250 1"));
}

}  // namespace
}  // namespace chestnutport::wire
