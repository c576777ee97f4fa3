// What a node remembers of the servers whose notices it has passed on.
#include "traffic/known_server_notices.h"

#include <catch2/catch.hpp>

#include "wire/header_names.h"

namespace chestnutport::traffic {
namespace {

using base::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
const base::SocketAddress kPeer = *base::SocketAddress::Parse("10.0.0.1:80");
const base::SocketAddress kOther = *base::SocketAddress::Parse("10.0.0.2:80");

Instant At(int ms) {
  return kStart + milliseconds(ms);
}

net::HttpHeaders Leaving() {
  const wire::PeerServerNotice notice{.instance = "i-1",
                                      .started_at = milliseconds(1000),
                                      .notice = {.is_leaving = true},
                                      .age = milliseconds(20)};
  return {{wire::kServerNoticeHeader, notice.ToHeader()}};
}

TEST_CASE("a node has passed on that a server is leaving") {
  KnownServerNotices notices;
  notices.OnAnswer(kPeer, Leaving(), true, At(0), At(100));

  SECTION("it knows the incarnation and the age") {
    const auto known = notices.Find(kPeer, At(150));
    REQUIRE(known);
    CHECK(known->notice.is_leaving);
    CHECK_FALSE(known->notice.rate_limit);
    CHECK(known->IsAbout("i-1", milliseconds(1000)));
    CHECK_FALSE(known->IsAbout("i-1", milliseconds(2000)));
    CHECK(known->IsAbout("i-1", milliseconds(0)));
    CHECK_FALSE(known->IsAbout("i-2", milliseconds(1000)));
    CHECK(known->age == milliseconds(70));
    CHECK_FALSE(notices.Find(kOther, At(150)));
  }
  SECTION("a refusal of the gate does not end it") {
    notices.OnAnswer(kPeer, {}, false, At(110), At(120));
    CHECK(notices.Find(kPeer, At(150)));
  }
  SECTION("a response to an earlier request does not end it") {
    notices.OnAnswer(kPeer, {}, true, At(90), At(120));
    CHECK(notices.Find(kPeer, At(150)));
  }
  SECTION("a response to a later request without a notice ends it") {
    notices.OnAnswer(kPeer, {}, true, At(110), At(120));
    CHECK_FALSE(notices.Find(kPeer, At(150)));
  }
}

TEST_CASE("a malformed notice is ignored") {
  KnownServerNotices notices;
  for (const char* text : {"", "i-1", "i-1 0 x staying 1s", "i-1 0 - leaving",
                           " 0 - leaving 1s", "i-1 x - leaving 1s"}) {
    INFO(text);
    notices.OnAnswer(kPeer, {{wire::kServerNoticeHeader, text}}, true, At(0),
                     At(1));
    CHECK_FALSE(notices.Find(kPeer, At(2)));
  }
}

}  // namespace
}  // namespace chestnutport::traffic
