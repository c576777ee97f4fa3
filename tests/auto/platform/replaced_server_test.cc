// What users saw: servers that had come back stood idle until the end of the
// day, three of seven for 55 s, while the others were full.
//
// Order of events: a server ends, and is started anew at its address. A request
// that was meant for the start before reaches the new one, which refuses it, as
// it has to. Meanwhile the new start has announced itself to its node. Then the
// node reads the refusal.
//
// Cause: the node took the refusal for a word on the server that it knew by
// then: another one holds the address, so nothing may be sent there until it
// announces itself anew. It had done so, and does not start again.
//
// Evidence: the node's line on the refusal names the same start as the one that
// was expected and the one that was found, 1.5 ms after that start had
// announced itself. From then on each request was answered that there is no
// server; the server got none.
#include <catch2/catch.hpp>

#include "platform/hosted_server_protocol.h"
#include "support/gate_fixture.h"

namespace chestnutport::test {
namespace {

constexpr int kMisdirected = 421;

net::HttpAnswer MisdirectedAnswer(const std::string& instance) {
  return {.status = kMisdirected, .headers = {{"Instance-Id", instance}}};
}

TEST_CASE("a server is started anew while a request to it is on its way") {
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

  SECTION("the request has not run, and its caller's node is told so") {
    CHECK(Error(fixture.results[1]) == "server-replaced");
    CHECK(Outcome(fixture.results[1]) == "not-run");
  }

  SECTION("and the server that was announced gets the next") {
    fixture.is_silent = false;
    fixture.answer.headers = {{"Response-Signature", "proof"}};
    CHECK(Outcome(fixture.Run("GET")) == "answered");
    CHECK(fixture.served.size() == 2);
  }
}

TEST_CASE("another server answers at the address") {
  GateFixture fixture(
      server::AnyServerProtocol::Of(platform::HostedServerProtocol()));
  fixture.state.instance = "i-1";
  fixture.Apply();
  fixture.answer = MisdirectedAnswer("i-2");
  CHECK(Error(fixture.Run("GET")) == "server-replaced");

  SECTION("nothing more is sent there") {
    CHECK(Error(fixture.Run("GET")) == "no-server");
    CHECK(fixture.served.size() == 1);
  }

  SECTION("until the one that holds it announces itself") {
    ++fixture.state.life;
    fixture.state.instance = "i-2";
    fixture.Apply();
    fixture.answer = {.headers = {{"Response-Signature", "proof"}}};
    CHECK(Outcome(fixture.Run("GET")) == "answered");
  }
}

}  // namespace
}  // namespace chestnutport::test
