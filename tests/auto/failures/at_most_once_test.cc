// Guarantee: a request that may not be repeated runs at most once.
#include <catch2/catch.hpp>
#include <csignal>

#include "support/small_fleet.h"

namespace chestnutport::test {
namespace {

// Longer than the request deadline of the service declaration.
constexpr std::chrono::milliseconds kPastDeadline(3500);

// Mostly requests that may not be repeated.
const LoadOptions kWrites{.work = std::chrono::milliseconds(20),
                          .repeatable_share = 20};

// Callers of the node itself are blocked until it continues, so this waits for
// a fixed time in place of a number of completed requests.
void FreezeNode(const Vm& vm, std::chrono::milliseconds time) {
  vm.node->Signal(SIGSTOP);
  std::this_thread::sleep_for(time);
  vm.node->Signal(SIGCONT);
}

// Requests that complete between two connection resets.
constexpr size_t kCallsBetweenResets = 10;

TEST_CASE("a request that may not be repeated runs at most once") {
  SmallFleet small;
  Fleet& fleet = small.fleet;
  Audit audit;

  SECTION("when a server is killed and started anew, twice") {
    audit = small.RunWithFault(kWrites, [&] {
      fleet.StartServer(small.b);
      fleet.StartServer(small.b);
    });
  }
  SECTION("when a node is killed and started anew") {
    audit = small.RunWithFault(kWrites, [&] { fleet.StartNode(small.b); });
  }
  SECTION("when a node is frozen past every deadline and comes back") {
    audit = small.RunWithFault(kWrites,
                               [&] { FreezeNode(small.b, kPastDeadline); });
  }
  SECTION("when a server is frozen past every deadline and comes back") {
    audit = small.RunWithFault(kWrites, [&](Load& callers) {
      small.b.server->Signal(SIGSTOP);
      CHECK(callers.WaitForMoreAndPending(small.calls));
      small.b.server->Signal(SIGCONT);
    });
  }
  SECTION("when a server sheds") {
    audit = small.RunWithFault(
        kWrites, [&] { fleet.CommandServer(small.b, R"({"shed": true})"); });
  }
  SECTION("when open connections between nodes go silent") {
    audit = small.RunWithFault(
        kWrites, [&] { small.b.peer_relay->SilenceOpenConnections(); });
  }
  SECTION("when open connections to a server go silent, twice") {
    audit = small.RunWithFault(kWrites, [&](Load& callers) {
      small.b.server_relay->SilenceOpenConnections();
      CHECK(callers.WaitForMoreAndPending(small.calls));
      small.b.server_relay->SilenceOpenConnections();
    });
  }
  SECTION("when connections between nodes are reset again and again") {
    audit = small.RunWithFault(kWrites, [&](Load& callers) {
      for (int i = 0; i < 20; ++i) {
        small.b.peer_relay->ResetOpenConnections();
        small.c.peer_relay->ResetOpenConnections();
        CHECK(callers.WaitForMore(kCallsBetweenResets));
      }
    });
  }
  SECTION("when the answers of a node are lost") {
    audit = small.RunWithFault(kWrites, [&](Load& callers) {
      small.b.peer_relay->DropAnswers(true);
      CHECK(callers.WaitForMoreAndPending(small.calls));
      small.b.peer_relay->DropAnswers(false);
    });
  }
  SECTION("when requests arrive late, behind their cancellation") {
    audit = small.RunWithFault(kWrites, [&](Load& callers) {
      small.b.peer_relay->SetDelay(std::chrono::seconds(2));
      CHECK(callers.WaitForMoreAndPending(small.calls));
      small.b.peer_relay->SetDelay(std::chrono::milliseconds(0));
    });
  }
  SECTION("when a node is frozen while another one's connections go silent") {
    audit = small.RunWithFault(kWrites, [&] {
      small.c.peer_relay->SilenceOpenConnections();
      FreezeNode(small.b, kPastDeadline);
    });
  }
  SECTION("when the store is down and a server is killed") {
    audit = small.RunWithFault(kWrites, [&] {
      fleet.CommandStore(R"({"mode": "down"})");
      fleet.StartServer(small.b);
    });
  }
  INFO(audit.ToString());
  CHECK(audit.calls >= 2 * small.calls);
  CHECK(audit.answered > 0);
  CHECK(audit.ran_twice == 0);
  CHECK(audit.violations() == 0);
}

TEST_CASE("the audit sees a server that runs requests twice") {
  SmallFleet small({"--run_twice"});
  const Audit audit = small.RunWithFault(kWrites, [] {});
  CHECK(audit.ran_twice > small.calls);
}

}  // namespace
}  // namespace chestnutport::test
