// What counts as the usual pace of a service's servers.
#include "routing/recent_strain.h"

#include <catch2/catch.hpp>

namespace chestnutport::routing {
namespace {

void Report(RecentStrain& recent, int times, double slowness) {
  for (int i = 0; i < times; ++i)
    recent.OnReport(slowness);
}

TEST_CASE("servers are at their usual pace until one says otherwise") {
  RecentStrain recent;
  CHECK(recent.usual() == 1);

  SECTION("a single word is believed, as there is no other") {
    recent.OnReport(2);
    CHECK(recent.usual() == 2);
  }
  SECTION("after a start of all servers each is cold") {
    Report(recent, 8, 2);
    Report(recent, 4, 8);
    CHECK(recent.usual() == 2);

    SECTION("and once they are warm that is forgotten") {
      Report(recent, 2, 1);
      CHECK(recent.usual() == 1);
    }
  }
  SECTION("most reports come from servers in a slow spell") {
    Report(recent, 2, 1);
    Report(recent, 10, 4);
    CHECK(recent.usual() == 1);
  }
  SECTION("a single server that says otherwise is no rule") {
    Report(recent, 11, 4);
    Report(recent, 1, 1);
    CHECK(recent.usual() == 4);
  }
  SECTION("less than 1 is not known") {
    Report(recent, 12, 0.5);
    CHECK(recent.usual() == 1);
  }
}

}  // namespace
}  // namespace chestnutport::routing
