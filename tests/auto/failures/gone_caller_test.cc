// Guarantee: no request runs whose caller left before a node read it.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "support/raw_socket.h"
#include "support/small_fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using std::chrono::milliseconds;

constexpr int kCallers = 60;
// Longer than the ingress takes to send a request to another node.
constexpr milliseconds kPatience(150);
// Longer than an ingress repeats a cancellation.
constexpr milliseconds kPause(800);
// Requests by which every node has read what was sent to it before.
constexpr int kMarkers = 60;

std::string Name(int caller) {
  return absl::StrCat("gone-", caller);
}

std::string MakeRequest(const std::string& method, int caller) {
  return absl::StrCat(method, " /dossie/1 HTTP/1.1\r\nHost: x\r\n",
                      "X-Request-Id: ", Name(caller),
                      "\r\nContent-Length: 0\r\n\r\n");
}

std::vector<RawSocket> Connect(const base::SocketAddress& node) {
  std::vector<RawSocket> callers;
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back(node);
  return callers;
}

void SendRequests(std::vector<RawSocket>& callers, const std::string& method) {
  for (int i = 0; i < kCallers; ++i)
    REQUIRE(callers[i].Send(MakeRequest(method, i)));
}

void Leave(std::vector<RawSocket>& callers) {
  for (RawSocket& caller : callers)
    caller.Close();
}

void RunMarkers(const SmallFleet& small) {
  for (int i = 0; i < kMarkers; ++i) {
    const auto answer = small.fleet.Call(small.a, "GET", "/dossie/1",
                                         absl::StrCat("marker-", i));
    CHECK(answer.status == 200);
  }
}

int CountGoneStarted(const ExecutionLedger& ledger) {
  int started = 0;
  for (int i = 0; i < kCallers; ++i) {
    const auto found = ledger.find(Name(i));
    started += found == ledger.end() ? 0 : found->second.started;
  }
  return started;
}

TEST_CASE("a request whose caller left before a node read it never runs") {
  SmallFleet small;
  const std::string method = GENERATE("GET", "POST");
  CAPTURE(method);

  SECTION("on a connection that the paused node had accepted") {
    auto callers = Connect(small.a.caller_address);
    RunMarkers(small);
    small.a.node->Pause();
    SendRequests(callers, method);
    Leave(callers);
    small.a.node->Signal(SIGCONT);
    RunMarkers(small);
    CHECK(CountGoneStarted(small.fleet.Ledger()) == 0);
  }

  SECTION("on a connection that waited to be accepted") {
    small.a.node->Pause();
    auto callers = Connect(small.a.caller_address);
    SendRequests(callers, method);
    Leave(callers);
    small.a.node->Signal(SIGCONT);
    RunMarkers(small);
    CHECK(CountGoneStarted(small.fleet.Ledger()) == 0);
  }

  SECTION("at the paused node beside the server") {
    const std::filesystem::path ledger = small.b.ledger;
    RunMarkers(small);
    auto callers = Connect(small.a.caller_address);
    const size_t before = CountStarted(ledger);
    small.b.node->Pause();
    SendRequests(callers, method);
    std::this_thread::sleep_for(kPatience);
    Leave(callers);
    std::this_thread::sleep_for(kPause);
    small.b.node->Signal(SIGCONT);
    std::this_thread::sleep_for(kPause);
    CHECK(CountStarted(ledger) == before);
  }
}

}  // namespace
}  // namespace chestnutport::test
