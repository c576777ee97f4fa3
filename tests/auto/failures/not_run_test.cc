// Guarantee: no server ran a request whose caller got the outcome "not-run".
#include <catch2/catch.hpp>
#include <csignal>

#include "support/small_fleet.h"

namespace chestnutport::test {
namespace {

// Longer than the request deadline of the service declaration.
constexpr std::chrono::milliseconds kPastDeadline(3500);

const LoadOptions kMixed{.work = std::chrono::milliseconds(20)};
// More callers than three servers of 12 slots and 24 queue places can admit.
const LoadOptions kOverload{.callers = 200,
                            .work = std::chrono::milliseconds(50),
                            .pause = std::chrono::milliseconds(0)};

// Requests that complete between two connection resets.
constexpr size_t kCallsBetweenResets = 10;

TEST_CASE("a request said not to have run did not run") {
  SmallFleet small;
  Fleet& fleet = small.fleet;
  Audit audit;
  bool must_refuse = false;

  SECTION("when all servers are overloaded") {
    small.calls = 2000;
    must_refuse = true;
    audit = small.RunWithFault(kOverload, [] {});
  }
  SECTION("when servers are overloaded and nodes' connections are reset") {
    small.calls = 2000;
    must_refuse = true;
    audit = small.RunWithFault(kOverload, [&](Load& callers) {
      for (int i = 0; i < 20; ++i) {
        small.b.peer_relay->ResetOpenConnections();
        CHECK(callers.WaitForMore(kCallsBetweenResets));
      }
    });
  }
  SECTION("when every server is drained") {
    must_refuse = true;
    audit = small.RunWithFault(kMixed, [&] {
      for (const auto& vm : fleet.vms())
        fleet.Operate(*vm, "POST", "/v1/drain", "");
    });
  }
  SECTION("when a server sheds") {
    audit = small.RunWithFault(
        kMixed, [&] { fleet.CommandServer(small.b, R"({"shed": true})"); });
  }
  SECTION("when a server is killed") {
    audit = small.RunWithFault(kMixed, [&] { small.b.server.reset(); });
  }
  SECTION("when a node is killed") {
    audit = small.RunWithFault(kMixed, [&] { small.b.node.reset(); });
  }
  SECTION("when a node is frozen with work in its queue, and comes back") {
    small.calls = 2000;
    must_refuse = true;
    audit = small.RunWithFault(kOverload, [&] {
      small.b.node->Signal(SIGSTOP);
      std::this_thread::sleep_for(std::chrono::seconds(4));
      small.b.node->Signal(SIGCONT);
    });
  }
  SECTION("when a server is frozen past every deadline and comes back") {
    audit = small.RunWithFault(kMixed, [&](Load& callers) {
      small.b.server->Signal(SIGSTOP);
      CHECK(callers.WaitForMoreAndPending(small.calls));
      small.b.server->Signal(SIGCONT);
    });
  }
  SECTION("when open connections between nodes go silent") {
    audit = small.RunWithFault(
        kMixed, [&] { small.b.peer_relay->SilenceOpenConnections(); });
  }
  SECTION("when requests arrive late, behind their cancellation") {
    audit = small.RunWithFault(kMixed, [&](Load& callers) {
      small.b.peer_relay->SetDelay(std::chrono::seconds(2));
      CHECK(callers.WaitForMoreAndPending(small.calls));
      small.b.peer_relay->SetDelay(std::chrono::milliseconds(0));
    });
  }
  SECTION("when the store is down and a server is killed") {
    audit = small.RunWithFault(kMixed, [&] {
      fleet.CommandStore(R"({"mode": "down"})");
      small.b.server.reset();
    });
  }
  SECTION("when the answers of a server are lost") {
    audit = small.RunWithFault(kMixed, [&](Load& callers) {
      small.b.server_relay->DropAnswers(true);
      CHECK(callers.WaitForMore(small.calls));
      small.b.server_relay->DropAnswers(false);
    });
  }
  SECTION("when connections to a server are reset while it works") {
    audit = small.RunWithFault(kMixed, [&](Load& callers) {
      for (int i = 0; i < 20; ++i) {
        small.b.server_relay->ResetOpenConnections();
        CHECK(callers.WaitForMore(kCallsBetweenResets));
      }
    });
  }
  INFO(audit.ToString());
  CHECK(audit.calls >= 2 * small.calls);
  CHECK(audit.said_not_run_but_ran == 0);
  CHECK(audit.violations() == 0);
  if (must_refuse)
    CHECK(audit.not_run > 0);
}

TEST_CASE("the audit sees a false not run") {
  const std::vector<CallRecord> records = {
      {.id = "a",
       .end = http_client::TransferEnd::kComplete,
       .outcome = "not-run"},
      {.id = "b", .end = http_client::TransferEnd::kNotSent}};
  const Audit audit = Audit::Make(records, {{"a", {1, 1}}, {"b", {1, 0}}});
  CHECK(audit.said_not_run_but_ran == 2);
}

}  // namespace
}  // namespace chestnutport::test
