// Guards against a restarted server that stays idle. When a server restarts at
// the same address, a request meant for its previous instance is rejected with
// 421 by the new one. If the new instance announces itself before its node
// reads that response, the node must not conclude that the address belongs to
// yet another instance: it would send nothing more until the next announcement,
// which never comes, and reject all requests because it has no server. Three of
// seven servers stood idle for 55 s in this way while the others were full; the
// 421 was read 1.5 ms after the announcement.
#include <catch2/catch.hpp>

#include "platform/hosted_server_protocol.h"
#include "support/gate_fixture.h"

namespace chestnutport::test {
namespace {

constexpr int kMisdirected = 421;

net::HttpAnswer MisdirectedAnswer(const std::string& instance) {
  return {.status = kMisdirected, .headers = {{"Instance-Id", instance}}};
}

TEST_CASE("a server restarts while a request to it is in flight") {
  GateFixture fixture(
      server::AnyServerProtocol::Of(platform::HostedServerProtocol()));
  fixture.state.instance = "i-1";
  fixture.Apply();
  fixture.is_silent = true;
  fixture.Begin("GET");
  REQUIRE(fixture.RunUntil([&] { return fixture.served.size() == 1; }));
  ++fixture.state.life;
  fixture.state.instance = "i-2";
  fixture.Apply();
  fixture.pending_replies[0].Send(MisdirectedAnswer("i-2"));
  REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(1); }));

  SECTION("the request is reported as not run to the caller's node") {
    CHECK(Error(fixture.results[1]) == "server-replaced");
    CHECK(Outcome(fixture.results[1]) == "not-run");
  }

  SECTION("the next request goes to the announced instance") {
    fixture.is_silent = false;
    fixture.answer.headers = {{"Response-Signature", "proof"}};
    CHECK(Outcome(fixture.Run("GET")) == "answered");
    CHECK(fixture.served.size() == 2);
  }
}

TEST_CASE("another instance responds at the address") {
  GateFixture fixture(
      server::AnyServerProtocol::Of(platform::HostedServerProtocol()));
  fixture.state.instance = "i-1";
  fixture.Apply();
  fixture.answer = MisdirectedAnswer("i-2");
  CHECK(Error(fixture.Run("GET")) == "server-replaced");

  SECTION("no further request is sent to it") {
    CHECK(Error(fixture.Run("GET")) == "no-server");
    CHECK(fixture.served.size() == 1);
  }

  SECTION("until that instance announces itself") {
    ++fixture.state.life;
    fixture.state.instance = "i-2";
    fixture.Apply();
    fixture.answer = {.headers = {{"Response-Signature", "proof"}}};
    CHECK(Outcome(fixture.Run("GET")) == "answered");
  }
}

}  // namespace
}  // namespace chestnutport::test
