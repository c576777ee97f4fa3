// The gate of a node, between another node and a server that behaves as the
// test wants.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "support/gate_scene.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"
#include "wire/load_report.h"

namespace chestnutport::test {
namespace {

using net::FindHeader;
using std::chrono::milliseconds;
using std::chrono::seconds;

base::SocketAddress AnyPort() {
  return base::SocketAddress::Parse("127.0.0.1:0").value();
}

// A listener whose queue of new connections is full: one more stays unopened.
class FullListener {
 public:
  FullListener() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) == 0);
    REQUIRE(listen(fd_, 0) == 0);
    socklen_t size = sizeof(raw);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &size);
    address_ = {INADDR_LOOPBACK, ntohs(raw.sin_port)};
    for (int& filling : filling_) {
      filling = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      connect(filling, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
    }
  }
  ~FullListener() {
    for (const int filling : filling_)
      close(filling);
    close(fd_);
  }

  const base::SocketAddress& address() const { return address_; }

 private:
  int fd_;
  std::array<int, 4> filling_{};
  base::SocketAddress address_;
};

TEST_CASE("a gate hands requests to its server") {
  GateScene scene;

  SECTION("with the time that is left as a duration") {
    CHECK(Outcome(scene.Run("GET")) == "answered");
    CHECK_FALSE(
        FindHeader(scene.served[0].headers, wire::kDeadlineHeader).empty());
    CHECK(FindHeader(scene.served[0].headers, wire::kSignatureHeader).empty());
  }

  SECTION("a plain 503 is the server's answer") {
    scene.answer.status = 503;
    const auto result = scene.Run("POST");
    CHECK(result.answer.status == 503);
    CHECK(Outcome(result) == "answered");
  }

  SECTION("a server fails by itself, or by a call that it made") {
    scene.answer.status = 500;
    const bool is_calls_fault = GENERATE(false, true);
    scene.serving = [&] {
      if (is_calls_fault)
        scene.running.OnCallFailed(scene.served.size() == 1 ? "r1.1" : "r2.1");
    };
    const auto result = scene.Run("POST");
    CHECK(result.answer.status == 500);
    CHECK(FindHeader(result.answer.headers, wire::kCallFailedHeader).empty() !=
          is_calls_fault);
    const auto next = scene.Run("POST");
    const auto load = wire::LoadReport::FromHeader(
        FindHeader(next.answer.headers, wire::kLoadHeader));
    REQUIRE(load);
    CHECK((load->strain > 1.1) != is_calls_fault);
  }

  SECTION("a 503 marked as not run is a refusal") {
    scene.answer.status = 503;
    scene.answer.headers = {{wire::kOutcomeHeader, "not-run"}};
    const auto result = scene.Run("POST");
    CHECK(Outcome(result) == "not-run");
    CHECK(Error(result) == "server-shed");
  }

  SECTION("an answer that is too large for the receiver is never whole") {
    scene.answer.body.assign(9 * 1024 * 1024, 'x');
    CHECK(scene.Run("POST").end == net::TransferEnd::kLost);
  }

  SECTION("a server that is not there did not run it") {
    scene.state.address.port = 1;
    scene.Apply();
    CHECK(Error(scene.Run("POST")) == "connect-failed");
    CHECK(scene.Settle({1, 1}, true) == "never-runs");
  }

  SECTION("one that leaves gets nothing new, and says when it is empty") {
    scene.state.draining = true;
    scene.Apply();
    CHECK(Error(scene.Run("POST")) == "draining");
    scene.state.draining = false;
    scene.Apply();
    CHECK(Outcome(scene.Run("POST")) == "answered");
  }
}

TEST_CASE("a gate that is asked whether it has a place") {
  GateScene scene;
  scene.silent = true;
  scene.state.admission.slots = 1;
  scene.state.admission.adaptive = false;
  scene.Apply();

  SECTION("says so while it has, and keeps nothing of it") {
    CHECK(scene.Inquire().answer.status == traffic::kPlaceFree);
    CHECK(scene.Inquire().answer.status == traffic::kPlaceFree);
    CHECK(scene.served.empty());
    CHECK(scene.Settle({1, 1}, false) == "unknown-here");
  }

  SECTION("whose server is full") {
    scene.Begin("POST");
    REQUIRE(scene.Until([&] { return scene.served.size() == 1; }));

    SECTION("hands the question back") {
      CHECK(Error(scene.Inquire()) == "server-slow");
    }
    SECTION("refuses what would be late") {
      scene.inquiry_may_move = false;
      const auto refused = scene.Inquire();
      CHECK(Error(refused) == "overloaded");
      CHECK(Outcome(refused) == "not-run");
    }
  }

  SECTION("whose server leaves") {
    scene.state.draining = true;
    scene.Apply();
    CHECK(Error(scene.Inquire()) == "draining");
  }
}

TEST_CASE("an attempt that waits for a connection to its server") {
  GateScene scene;
  const FullListener full;
  scene.state.address = full.address();
  ++scene.state.life;
  scene.Apply();
  const auto waiting = scene.Begin("POST");
  REQUIRE(
      scene.Until([&] { return scene.Settle(waiting, false) == "running"; }));

  SECTION("never runs if it is cancelled, though it may not be cut off") {
    CHECK(scene.Settle(waiting, true, false) == "never-runs");
    REQUIRE(scene.Until([&] { return scene.results.contains(1); }));
    CHECK(Error(scene.results[1]) == "cancelled");
  }

  SECTION("never runs if the other node goes away") {
    scene.Leave(0);
    CHECK(scene.Until(
        [&] { return scene.Settle(waiting, false) == "never-runs"; }));
  }
}

TEST_CASE("an attempt on a slow server") {
  GateScene scene;
  scene.silent = true;
  scene.state.admission.slots = 1;
  scene.Apply();
  const auto running = scene.Begin("POST");
  REQUIRE(scene.Until([&] { return scene.served.size() == 1; }));
  const auto queued = scene.Begin("POST");
  REQUIRE(scene.Until([&] { return scene.Settle(queued, false) == "queued"; }));

  SECTION("can be asked about") {
    CHECK(scene.Settle(running, false) == "running");
    CHECK(scene.Settle({1, 99}, false) == "unknown-here");
  }

  SECTION("never runs if it is cancelled in the queue") {
    CHECK(scene.Settle(queued, true) == "never-runs");
    REQUIRE(scene.Until([&] { return scene.results.contains(2); }));
    CHECK(Error(scene.results[2]) == "cancelled");
    CHECK(scene.served.size() == 1);
  }

  SECTION("is cut off at the server if it is cancelled while it runs") {
    CHECK(scene.Settle(running, true) == "running");
    CHECK(scene.Until([&] { return scene.gone == 1; }));
    CHECK(Outcome(scene.results[1]) == "unknown");
    CHECK(scene.Settle(running, false) == "finished");
    CHECK(scene.Until([&] { return scene.served.size() == 2; }));
  }

  SECTION("leaves the queue when the other node goes away") {
    scene.Leave(1);
    CHECK(scene.Until(
        [&] { return scene.Settle(queued, false) == "never-runs"; }));
  }

  SECTION("is not cut off with the other node if it may change something") {
    scene.Leave(0);
    CHECK(scene.Settle(running, false) == "running");
    CHECK(scene.gone == 0);
  }

  SECTION("a drain refuses what waits and lets the other finish") {
    scene.state.draining = true;
    scene.Apply();
    REQUIRE(scene.Until([&] { return scene.results.contains(2); }));
    CHECK(Error(scene.results[2]) == "draining");
    scene.held[0].Send({.body = "whole"});
    REQUIRE(scene.Until([&] { return scene.results.contains(1); }));
    CHECK(scene.results[1].answer.body == "whole");
  }
}

TEST_CASE("a gate probes its server when there is no traffic") {
  GateScene scene;
  scene.state.health_path = "/health";
  scene.Apply();
  REQUIRE(scene.Until([&] { return scene.report.probes == 1; }));
  CHECK(scene.served[0].target == "/health");
  CHECK(scene.report.probe_time <= milliseconds(50));

  SECTION("and not at all without a budget") {
    GateScene frugal;
    frugal.state.health_path = "/health";
    frugal.state.probes.budget = 0;
    frugal.Apply();
    CHECK(Outcome(frugal.Run("GET")) == "answered");
    CHECK(frugal.served.size() == 1);
  }
}

TEST_CASE("a node that was stopped before it sent does not send late") {
  net::EventLoop loop;
  int served = 0;
  auto server = net::HttpServer::Open(loop, AnyPort(), net::HttpServerLimits{},
                                      [&](const auto&, net::Reply reply) {
                                        ++served;
                                        reply.Send({});
                                      })
                    .value();
  net::HttpClient client(loop, net::HttpClientOptions{});
  net::TransferEnd end = net::TransferEnd::kComplete;
  client.Send(server->address(), {.method = "POST", .target = "/"},
              milliseconds(20), [&](const net::TransferResult& result) {
                end = result.end;
                loop.Stop();
              });
  const base::Instant deadline = base::Clock::now() + milliseconds(20);
  while (base::Clock::now() <= deadline) {
  }
  loop.Run();
  CHECK(end == net::TransferEnd::kNotSent);
  CHECK(served == 0);
}

}  // namespace
}  // namespace chestnutport::test
