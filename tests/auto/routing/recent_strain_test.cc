// Tests the estimate of the usual strain of a service's servers.
#include "routing/recent_strain.h"

#include <catch2/catch.hpp>

namespace chestnutport::routing {
namespace {

void Report(RecentStrain& recent, int times, double slowness) {
  for (int i = 0; i < times; ++i)
    recent.OnReport(slowness);
}

TEST_CASE("the usual strain is 1 until a server reports another") {
  RecentStrain recent;
  CHECK(recent.usual() == 1);

  SECTION("a single report is used, as there is no other") {
    recent.OnReport(2);
    CHECK(recent.usual() == 2);
  }
  SECTION("it rises while all servers are cold after a fleet start") {
    Report(recent, 8, 2);
    Report(recent, 4, 8);
    CHECK(recent.usual() == 2);

    SECTION("and falls again once they are warm") {
      Report(recent, 2, 1);
      CHECK(recent.usual() == 1);
    }
  }
  SECTION("it stays 1 if most reports come from temporarily slow servers") {
    Report(recent, 2, 1);
    Report(recent, 10, 4);
    CHECK(recent.usual() == 1);
  }
  SECTION("a single low report does not change it") {
    Report(recent, 11, 4);
    Report(recent, 1, 1);
    CHECK(recent.usual() == 4);
  }
  SECTION("it is never less than 1") {
    Report(recent, 12, 0.5);
    CHECK(recent.usual() == 1);
  }
}

}  // namespace
}  // namespace chestnutport::routing
