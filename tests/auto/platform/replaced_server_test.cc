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

net::HttpAnswer RefusalOf(const std::string& instance) {
  return {.status = kMisdirected, .headers = {{"Instance-Id", instance}}};
}

TEST_CASE("a server is started anew while a request to it is on its way") {
  GateFixture scene(
      server::AnyServerProtocol::Of(platform::HostedServerProtocol()));
  scene.state.instance = "i-1";
  scene.Apply();
  scene.is_silent = true;
  scene.Begin("GET");
  REQUIRE(scene.RunUntil([&] { return scene.served.size() == 1; }));
  ++scene.state.life;
  scene.state.instance = "i-2";
  scene.Apply();
  scene.pending_replies[0].Send(RefusalOf("i-2"));
  REQUIRE(scene.RunUntil([&] { return scene.results.contains(1); }));

  SECTION("the request has not run, and its caller's node is told so") {
    CHECK(Error(scene.results[1]) == "server-replaced");
    CHECK(Outcome(scene.results[1]) == "not-run");
  }

  SECTION("and the server that was announced gets the next") {
    scene.is_silent = false;
    scene.answer.headers = {{"Response-Signature", "proof"}};
    CHECK(Outcome(scene.Run("GET")) == "answered");
    CHECK(scene.served.size() == 2);
  }
}

TEST_CASE("another server answers at the address") {
  GateFixture scene(
      server::AnyServerProtocol::Of(platform::HostedServerProtocol()));
  scene.state.instance = "i-1";
  scene.Apply();
  scene.answer = RefusalOf("i-2");
  CHECK(Error(scene.Run("GET")) == "server-replaced");

  SECTION("nothing more is sent there") {
    CHECK(Error(scene.Run("GET")) == "no-server");
    CHECK(scene.served.size() == 1);
  }

  SECTION("until the one that holds it announces itself") {
    ++scene.state.life;
    scene.state.instance = "i-2";
    scene.Apply();
    scene.answer = {.headers = {{"Response-Signature", "proof"}}};
    CHECK(Outcome(scene.Run("GET")) == "answered");
  }
}

}  // namespace
}  // namespace chestnutport::test
