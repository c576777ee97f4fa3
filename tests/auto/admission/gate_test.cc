// A gate between a peer node and a fake server.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <thread>

#include "support/gate_fixture.h"
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

// A listener whose backlog is full: further connections are not accepted.
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
  GateFixture fixture;

  SECTION("with the remaining time as a duration") {
    CHECK(Outcome(fixture.Run("GET")) == "answered");
    CHECK_FALSE(
        FindHeader(fixture.served[0].headers, wire::kDeadlineHeader).empty());
    CHECK(
        FindHeader(fixture.served[0].headers, wire::kSignatureHeader).empty());
  }

  SECTION("a plain 503 is the server's answer") {
    fixture.answer.status = 503;
    const auto result = fixture.Run("POST");
    CHECK(result.answer.status == 503);
    CHECK(Outcome(result) == "answered");
  }

  SECTION("a failure of the server itself, or of a call that it made") {
    fixture.answer.status = 500;
    const bool is_nested_call_failure = GENERATE(false, true);
    fixture.on_request = [&] {
      if (is_nested_call_failure)
        fixture.running.OnCallFailed(fixture.served.size() == 1 ? "r1.1"
                                                                : "r2.1");
    };
    const auto result = fixture.Run("POST");
    CHECK(result.answer.status == 500);
    CHECK(FindHeader(result.answer.headers, wire::kCallFailedHeader).empty() !=
          is_nested_call_failure);
    const auto next = fixture.Run("POST");
    const auto load = wire::LoadReport::FromHeader(
        FindHeader(next.answer.headers, wire::kLoadHeader));
    REQUIRE(load);
    CHECK((load->strain > 1.1) != is_nested_call_failure);
  }

  SECTION("a 503 marked as not run is a refusal") {
    fixture.answer.status = 503;
    fixture.answer.headers = {{wire::kOutcomeHeader, "not-run"}};
    const auto result = fixture.Run("POST");
    CHECK(Outcome(result) == "not-run");
    CHECK(Error(result) == "server-shed");
  }

  SECTION("an answer too large for the receiver is cut off") {
    fixture.answer.body.assign(9 * 1024 * 1024, 'x');
    CHECK(fixture.Run("POST").end == http_client::TransferEnd::kLost);
  }

  SECTION("a request to an unreachable server did not run") {
    fixture.state.address.port = 1;
    fixture.Apply();
    CHECK(Error(fixture.Run("POST")) == "connect-failed");
    CHECK(fixture.ControlAttempt({1, 1}, true) == "never-runs");
  }

  SECTION("a draining server gets no new requests") {
    fixture.state.draining = true;
    fixture.Apply();
    CHECK(Error(fixture.Run("POST")) == "draining");
    fixture.state.draining = false;
    fixture.Apply();
    CHECK(Outcome(fixture.Run("POST")) == "answered");
  }
}

TEST_CASE("a capacity inquiry") {
  GateFixture fixture;
  fixture.is_silent = true;
  fixture.state.admission.slots = 1;
  fixture.state.admission.adaptive = false;
  fixture.Apply();

  SECTION("is answered positively, and not recorded") {
    CHECK(fixture.InquireCapacity().answer.status ==
          traffic::kCapacityAvailable);
    CHECK(fixture.InquireCapacity().answer.status ==
          traffic::kCapacityAvailable);
    CHECK(fixture.served.empty());
    CHECK(fixture.ControlAttempt({1, 1}, false) == "unknown-here");
  }

  SECTION("at a full server") {
    fixture.Begin("POST");
    REQUIRE(fixture.RunUntil([&] { return fixture.served.size() == 1; }));

    SECTION("is returned to the sender") {
      CHECK(Error(fixture.InquireCapacity()) == "server-slow");
    }
    SECTION("is refused if the request would be late") {
      fixture.inquiry_may_move = false;
      const auto refused = fixture.InquireCapacity();
      CHECK(Error(refused) == "overloaded");
      CHECK(Outcome(refused) == "not-run");
    }
  }

  SECTION("at a draining server") {
    fixture.state.draining = true;
    fixture.Apply();
    CHECK(Error(fixture.InquireCapacity()) == "draining");
  }
}

TEST_CASE("an attempt waiting for a connection to the server") {
  GateFixture fixture;
  const FullListener full;
  fixture.state.address = full.address();
  ++fixture.state.life;
  fixture.Apply();
  const auto waiting = fixture.Begin("POST");
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.ControlAttempt(waiting, false) == "running"; }));

  SECTION("never runs if it is cancelled, even if it must not be interrupted") {
    CHECK(fixture.ControlAttempt(waiting, true, false) == "never-runs");
    REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(1); }));
    CHECK(Error(fixture.results[1]) == "cancelled");
  }

  SECTION("never runs if the sender disconnects") {
    fixture.DisconnectPeer(0);
    CHECK(fixture.RunUntil([&] {
      return fixture.ControlAttempt(waiting, false) == "never-runs";
    }));
  }
}

TEST_CASE("an attempt on a slow server") {
  GateFixture fixture;
  fixture.is_silent = true;
  fixture.state.admission.slots = 1;
  fixture.Apply();
  const auto running = fixture.Begin("POST");
  REQUIRE(fixture.RunUntil([&] { return fixture.served.size() == 1; }));
  const auto queued = fixture.Begin("POST");
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.ControlAttempt(queued, false) == "queued"; }));

  SECTION("can be queried") {
    CHECK(fixture.ControlAttempt(running, false) == "running");
    CHECK(fixture.ControlAttempt({1, 99}, false) == "unknown-here");
  }

  SECTION("never runs if it is cancelled in the queue") {
    CHECK(fixture.ControlAttempt(queued, true) == "never-runs");
    REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(2); }));
    CHECK(Error(fixture.results[2]) == "cancelled");
    CHECK(fixture.served.size() == 1);
  }

  SECTION("is interrupted if it is cancelled while it runs") {
    CHECK(fixture.ControlAttempt(running, true) == "running");
    CHECK(fixture.RunUntil([&] { return fixture.closed_requests == 1; }));
    CHECK(Outcome(fixture.results[1]) == "unknown");
    CHECK(fixture.ControlAttempt(running, false) == "finished");
    CHECK(fixture.RunUntil([&] { return fixture.served.size() == 2; }));
  }

  SECTION("leaves the queue if the sender disconnects") {
    fixture.DisconnectPeer(1);
    CHECK(fixture.RunUntil(
        [&] { return fixture.ControlAttempt(queued, false) == "never-runs"; }));
  }

  SECTION(
      "is not interrupted if the sender disconnects and it may have side "
      "effects") {
    fixture.DisconnectPeer(0);
    CHECK(fixture.ControlAttempt(running, false) == "running");
    CHECK(fixture.closed_requests == 0);
  }

  SECTION(
      "a drain refuses the queued attempt and lets the running one finish") {
    fixture.state.draining = true;
    fixture.Apply();
    REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(2); }));
    CHECK(Error(fixture.results[2]) == "draining");
    fixture.pending_replies[0].Send({.body = "whole"});
    REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(1); }));
    CHECK(fixture.results[1].answer.body == "whole");
  }
}

TEST_CASE("an attempt that waits for a probe never runs without its sender") {
  GateFixture fixture;
  fixture.state.health_path = "/health";
  fixture.state.probes = {
      .budget = 1, .quiet = seconds(60), .stale = milliseconds(1)};
  fixture.Apply();
  fixture.attempt_may_move = true;
  fixture.on_request = [&] { fixture.DisconnectPeer(0); };
  // The budget of probes grows with the time since the start.
  std::this_thread::sleep_for(milliseconds(50));
  const auto waiting = fixture.Begin("GET");
  REQUIRE(fixture.RunUntil([&] { return !fixture.served.empty(); }));
  REQUIRE(fixture.served[0].target == "/health");
  CHECK(fixture.RunUntil(
      [&] { return fixture.ControlAttempt(waiting, false) == "never-runs"; }));
  CHECK(fixture.served.size() == 1);
}

TEST_CASE("a gate probes its server when there is no traffic") {
  GateFixture fixture;
  fixture.state.health_path = "/health";
  fixture.Apply();
  REQUIRE(fixture.RunUntil([&] { return fixture.report.probes == 1; }));
  CHECK(fixture.served[0].target == "/health");
  CHECK(fixture.report.probe_time <= milliseconds(50));

  SECTION("and never without a budget") {
    GateFixture unbudgeted;
    unbudgeted.state.health_path = "/health";
    unbudgeted.state.probes.budget = 0;
    unbudgeted.Apply();
    CHECK(Outcome(unbudgeted.Run("GET")) == "answered");
    CHECK(unbudgeted.served.size() == 1);
  }
}

TEST_CASE("a node that was paused before sending does not send late") {
  net::EventLoop loop;
  int served = 0;
  auto server =
      net::HttpServer::Open(loop, AnyPort(), client_limits::ListenerLimits{},
                            [&](const auto&, net::Reply reply) {
                              ++served;
                              reply.Send({});
                            })
          .value();
  http_client::HttpClient client(loop, http_client::HttpClientOptions{});
  http_client::TransferEnd end = http_client::TransferEnd::kComplete;
  client.Send(server->address(), {.method = "POST", .target = "/"},
              milliseconds(20), [&](const http_client::TransferResult& result) {
                end = result.end;
                loop.Stop();
              });
  const base::Instant deadline = base::Clock::now() + milliseconds(20);
  while (base::Clock::now() <= deadline) {
  }
  loop.Run();
  CHECK(end == http_client::TransferEnd::kNotSent);
  CHECK(served == 0);
}

}  // namespace
}  // namespace chestnutport::test
