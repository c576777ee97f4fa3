// Guards against a leave that is forgotten too early, or kept so long that the
// next server of the same name is never used.
#include "server/departure_record.h"

#include <catch2/catch.hpp>

namespace chestnutport::server {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr milliseconds kUnknownStart(0);
constexpr milliseconds kStart(1000);
constexpr base::Instant kNow = base::Instant(std::chrono::hours(1));

TEST_CASE("a node that was told that its server drains") {
  DepartureRecord departures;
  REQUIRE(departures.OnTold({"a", kStart, false}, kNow));

  SECTION("is told again, without a change") {
    CHECK_FALSE(departures.OnTold({"a", kStart, false}, kNow));
  }
  SECTION("is told that it has left, which it does not take back") {
    CHECK(departures.OnTold({"a", kStart, true}, kNow));
    CHECK_FALSE(departures.OnTold({"a", kStart, false}, kNow));
    CHECK_FALSE(departures.OnUndrained("a", kStart));
    CHECK(departures.departure()->has_left);
  }
  SECTION("is told that it stays") {
    CHECK(departures.OnUndrained("a", kStart));
    CHECK_FALSE(departures.departure());
  }
  SECTION("uses it anew: it drains no more") {
    CHECK_FALSE(departures.OnUsed("a", kStart));
    CHECK_FALSE(departures.departure());
  }
  SECTION("keeps that beside the next server") {
    CHECK_FALSE(departures.OnUsed("b", kStart));
    CHECK_FALSE(departures.OnUsed("a", 2 * kStart));
    CHECK(departures.departure());
  }
  SECTION("keeps that for as long as it runs") {
    CHECK_FALSE(departures.DropExpired(kNow + std::chrono::hours(24)));
  }
  SECTION("does not give it up for what an earlier run knew of another") {
    CHECK_FALSE(departures.OnInherited({"b", kStart, true}, false, kNow));
    CHECK(departures.departure()->instance == "a");
  }
}

TEST_CASE("a node whose earlier run was told that its server drains") {
  DepartureRecord departures;
  const milliseconds started_at = GENERATE(kUnknownStart, kStart);
  REQUIRE(departures.OnInherited({"a", started_at, false}, false, kNow));

  SECTION("uses it as one that drains") {
    CHECK(departures.OnUsed("a", kStart));
    CHECK(departures.departure());
  }
  SECTION("forgets that when the server is gone") {
    CHECK_FALSE(departures.DropExpired(kNow + minutes(1)));
    CHECK(departures.DropExpired(kNow + minutes(2)));
    CHECK_FALSE(departures.OnUsed("a", kStart));
  }
  SECTION("forgets it for what it is told itself") {
    CHECK(departures.OnTold({"b", kStart, false}, kNow));
    CHECK_FALSE(departures.DropExpired(kNow + minutes(2)));
    CHECK(departures.departure()->instance == "b");
  }
}

TEST_CASE("a server without a name") {
  DepartureRecord departures;
  CHECK_FALSE(departures.OnTold({"", kStart, true}, kNow));
  CHECK_FALSE(departures.departure());
}

}  // namespace
}  // namespace chestnutport::server
