// What a server has last stated, though its responses are read out of order.
#include "server/server_notices.h"

#include <catch2/catch.hpp>

namespace chestnutport::server {
namespace {

using base::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr wire::ServerNotice kNothing;

Instant At(int ms) {
  return kStart + milliseconds(ms);
}

wire::ServerNotice Limit(double rate) {
  return {.rate_limit = rate};
}

TEST_CASE("a server states a rate limit") {
  ServerNotices notices;
  CHECK(notices.OnResponse(Limit(12), At(0), At(100)));
  CHECK(notices.rate_limit() == 12);

  SECTION("the next response changes it") {
    CHECK(notices.OnResponse(Limit(7.5), At(50), At(150)));
    CHECK(notices.rate_limit() == 7.5);
  }
  SECTION("a response to an earlier request without a limit does not end it") {
    CHECK_FALSE(notices.OnResponse(kNothing, At(90), At(200)));
    CHECK(notices.rate_limit() == 12);
  }
  SECTION("a response to a later request without a limit ends it") {
    CHECK(notices.OnResponse(kNothing, At(101), At(200)));
    CHECK_FALSE(notices.rate_limit());
  }
  SECTION("an invalid limit changes nothing") {
    CHECK_FALSE(
        notices.OnResponse({.is_rate_limit_invalid = true}, At(101), At(200)));
    CHECK(notices.rate_limit() == 12);
  }
  SECTION("a health check without a limit does not end it") {
    CHECK_FALSE(notices.OnHealthCheck(kNothing, At(101), At(102)));
    CHECK(notices.rate_limit() == 12);
  }
  SECTION("a health check ends it if health checks state it as well") {
    notices.OnHealthCheck(Limit(12), At(110), At(120));
    CHECK(notices.OnHealthCheck(kNothing, At(130), At(140)));
    CHECK_FALSE(notices.rate_limit());
  }
  SECTION("the next incarnation is not limited") {
    notices.OnServerStarted();
    CHECK_FALSE(notices.rate_limit());
  }
}

TEST_CASE("a node that has just started learns a limit from a sender") {
  ServerNotices notices;
  CHECK(notices.OnPassedOn(Limit(5), At(0)));
  CHECK(notices.rate_limit() == 5);

  SECTION("the newest notice applies") {
    CHECK(notices.OnPassedOn(Limit(8), At(10)));
    CHECK_FALSE(notices.OnPassedOn(Limit(3), At(5)));
    CHECK(notices.rate_limit() == 8);
  }
  SECTION("the first response without a limit ends it") {
    CHECK(notices.OnResponse(kNothing, At(20), At(30)));
    CHECK_FALSE(notices.rate_limit());
    SECTION("and senders cannot bring it back") {
      CHECK_FALSE(notices.OnPassedOn(Limit(5), At(25)));
      CHECK_FALSE(notices.rate_limit());
    }
  }
}

}  // namespace
}  // namespace chestnutport::server
