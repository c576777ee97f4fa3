// The gate of a node, between another node and a server that behaves as the
// test wants.
#include "node/gate.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "node/attempt_sender.h"
#include "node/attempt_settler.h"
#include "node/own_server_protocol.h"
#include "rpc/call_codec.h"
#include "wire/header_names.h"

namespace chestnutport::node {
namespace {

using net::FindHeader;
using std::chrono::milliseconds;
using std::chrono::seconds;

const PeerKeys kKeys{"0123456789abcdef0123456789abcdef", ""};
constexpr base::NodeId kGateId{7};

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

// The gate, its server and the other node, on one loop.
class Scene {
 public:
  Scene()
      : gate_(loop_,
              {kGateId, "a", "poa-a", "south"},
              kKeys,
              AnyServerProtocol::Of(OwnServerProtocol()),
              running,
              [this](const GateReport& said) { report = said; }),
        peer_(loop_, net::HttpClientOptions{}) {
    server_ = net::HttpServer::Open(
                  loop_, AnyPort(), net::HttpServerLimits{},
                  [this](net::HttpRequest request, net::Reply reply) {
                    OnServed(std::move(request), std::move(reply));
                  })
                  .value();
    address_ = gate_.Listen(AnyPort()).value();
    state.announced = true;
    state.service = "dossie";
    state.address = server_->address();
    state.life = 1;
    Apply();
  }

  void Apply() { gate_.SetServer(state); }

  // Begins an attempt; the result is in `results` once it ends.
  base::AttemptId Begin(const std::string& method,
                        base::Duration remaining = seconds(10)) {
    wire::PeerRequestHead head;
    head.attempt = {1, ++last_};
    head.target = kGateId;
    head.service = "dossie";
    head.remaining = remaining;
    head.request_name = "r" + std::to_string(last_);
    net::HttpRequest request{.method = method, .target = "/1"};
    head.AppendTo(request.headers, kKeys.current);
    transfers.push_back(peer_.Send(
        address_, std::move(request), seconds(10),
        [this, id = last_](const auto& done) { results[id] = done; }));
    return head.attempt;
  }

  // Whether the gate would let a request in.
  net::TransferResult Inquire() {
    wire::PeerRequestHead head;
    head.attempt = {1, ++last_};
    head.target = kGateId;
    head.service = "dossie";
    head.remaining = seconds(10);
    head.target_in = milliseconds(1);
    head.may_move = true;
    head.may_move_if_full = inquiry_may_move;
    net::HttpRequest request{.method = "POST", .target = kInquiryPath};
    head.AppendTo(request.headers, kKeys.current);
    peer_.Send(address_, std::move(request), seconds(10),
               [this, id = last_](const auto& done) { results[id] = done; });
    const uint64_t id = last_;
    REQUIRE(Until([&] { return results.contains(id); }));
    return results[id];
  }

  net::TransferResult Run(const std::string& method) {
    const uint64_t id = Begin(method).sequence;
    REQUIRE(Until([&] { return results.contains(id); }));
    return results[id];
  }

  std::string Settle(const base::AttemptId& attempt,
                     bool cancel,
                     bool stop_running = true) {
    AttemptSettler settler(loop_, kKeys);
    std::string state = "none";
    wire::PeerRequestHead head;
    head.attempt = attempt;
    head.target = kGateId;
    head.remaining = seconds(5);
    net::HttpRequest request{.method = "POST", .target = kSettlePath};
    head.AppendTo(request.headers, kKeys.current);
    const nlohmann::json asked = {{"attempt", attempt.ToString()},
                                  {"cancel", cancel},
                                  {"stop_running", stop_running}};
    request.body = rpc::EncodeCall("attempt.settle", asked.dump());
    peer_.Send(address_, std::move(request), seconds(5),
               [&](const net::TransferResult& done) {
                 std::string text;
                 std::string error;
                 rpc::DecodeAnswer("attempt.settle", done.answer.body, &text,
                                   &error);
                 state = nlohmann::json::parse(text)["state"];
               });
    REQUIRE(Until([&] { return state != "none"; }));
    return state;
  }

  void Leave(size_t transfer) { peer_.Cancel(transfers.at(transfer)); }

  // Runs until `holds`, for ten seconds at most.
  template <typename Condition>
  bool Until(Condition holds) {
    for (int i = 0; i < 1000 && !holds(); ++i) {
      loop_.CallAfter(milliseconds(10), [this] { loop_.Stop(); });
      loop_.Run();
    }
    return holds();
  }

  net::HttpAnswer answer;                 // Of the server.
  std::function<void()> serving = [] {};  // Called while a request is served.
  bool silent = false;                    // The server answers nothing.
  bool inquiry_may_move = true;
  ServerState state;
  GateReport report;
  std::vector<net::HttpRequest> served;
  std::vector<net::Reply> held;
  int gone = 0;  // Requests whose connection the gate closed.
  std::map<uint64_t, net::TransferResult> results;
  std::vector<net::HttpClient::TransferId> transfers;

 private:
  void OnServed(net::HttpRequest request, net::Reply reply) {
    served.push_back(std::move(request));
    serving();
    if (!silent) {
      reply.Send(answer);
      return;
    }
    reply.OnGone([this] { ++gone; });
    held.push_back(std::move(reply));
  }

  net::EventLoop loop_;

 public:
  RunningRequests running;

 private:
  Gate gate_;
  net::HttpClient peer_;
  std::unique_ptr<net::HttpServer> server_;
  base::SocketAddress address_;
  uint64_t last_ = 0;
};

std::string Outcome(const net::TransferResult& result) {
  return std::string(FindHeader(result.answer.headers, wire::kOutcomeHeader));
}

std::string Error(const net::TransferResult& result) {
  return std::string(FindHeader(result.answer.headers, wire::kErrorHeader));
}

TEST_CASE("a gate hands requests to its server") {
  Scene scene;

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
  Scene scene;
  scene.silent = true;
  scene.state.admission.slots = 1;
  scene.state.admission.adaptive = false;
  scene.Apply();

  SECTION("says so while it has, and keeps nothing of it") {
    CHECK(scene.Inquire().answer.status == kPlaceFree);
    CHECK(scene.Inquire().answer.status == kPlaceFree);
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
  Scene scene;
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
  Scene scene;
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
  Scene scene;
  scene.state.health_path = "/health";
  scene.Apply();
  REQUIRE(scene.Until([&] { return scene.report.probes == 1; }));
  CHECK(scene.served[0].target == "/health");
  CHECK(scene.report.probe_time <= milliseconds(50));

  SECTION("and not at all without a budget") {
    Scene frugal;
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
}  // namespace chestnutport::node
