// A gate whose server crashes while it runs requests, and a gate with
// quarantine verdicts.
#include <catch2/catch.hpp>

#include "support/gate_fixture.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"

namespace chestnutport::test {
namespace {

using base::RequestFingerprint;
using quarantine::Verdict;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr RequestFingerprint kQuarantinedRequest{1};
constexpr RequestFingerprint kSuspect{2};
constexpr RequestFingerprint kOther{3};

quarantine::Verdicts SomeVerdicts() {
  quarantine::Verdicts verdicts;
  verdicts.Set(kQuarantinedRequest,
               {Verdict::kQuarantined, base::Clock::now() + minutes(10)});
  verdicts.Set(kSuspect, {Verdict::kSuspected, {}});
  return verdicts;
}

TEST_CASE("a server interrupts the requests it runs") {
  GateFixture fixture;
  fixture.state.health_path = "/health";
  fixture.state.admission.slots = 4;
  fixture.state.probes.budget = 1;
  fixture.Apply();
  fixture.is_silent = true;
  fixture.BeginGuarded({kOther});
  fixture.BeginGuarded({kSuspect, true});
  // The server gets probes as well.
  REQUIRE(
      fixture.RunUntil([&] { return fixture.pending_replies.size() >= 2; }));

  SECTION(
      "by a crash: the running requests are reported, and the callers' nodes "
      "get errors") {
    fixture.EndServer();
    REQUIRE(fixture.RunUntil([&] { return !fixture.crashes.empty(); }));
    REQUIRE(fixture.crashes.size() == 1);
    const quarantine::ServerCrash& crash = fixture.crashes[0];
    CHECK(crash.crash.life == fixture.state.life);
    REQUIRE(crash.running.size() == 2);
    CHECK(crash.running[0].fingerprint == kSuspect);
    CHECK(crash.running[0].is_suspect);
    CHECK(crash.running[1].fingerprint == kOther);
    REQUIRE(fixture.RunUntil([&] { return fixture.results.size() == 2; }));
    CHECK(Error(fixture.results[1]) == "server-lost");
    CHECK(Outcome(fixture.results[1]) == "unknown");
  }

  SECTION("but goes on: that is no crash") {
    fixture.is_silent = false;
    fixture.pending_replies.clear();
    REQUIRE(fixture.RunUntil([&] { return fixture.results.size() == 2; }));
    CHECK(Outcome(fixture.Run("GET")) == "answered");
    SECTION("also when it ends later without running requests") {
      fixture.EndServer();
      for (int i = 0; i < 3; ++i)
        CHECK(Error(fixture.Run("GET")) == "connect-failed");
    }
    CHECK(fixture.crashes.empty());
  }
}

TEST_CASE("a server crashes after more requests than a cold one tolerates") {
  GateFixture fixture;
  fixture.state.health_path = "/health";
  fixture.state.admission.slots = 4;
  fixture.state.admission.cold = {.rate = 4, .burst = 0, .after_start = {}};
  fixture.state.probes.budget = 1;
  fixture.Apply();
  fixture.is_silent = true;
  for (int i = 0; i < 3; ++i)
    fixture.BeginGuarded({kOther});
  REQUIRE(
      fixture.RunUntil([&] { return fixture.pending_replies.size() >= 3; }));
  const auto end = [&fixture] {
    fixture.EndServer();
    REQUIRE(fixture.RunUntil([&] { return fixture.results.size() == 3; }));
    fixture.RunUntil([&] { return !fixture.crashes.empty(); });
  };

  SECTION("while it was cold: no request is blamed") {
    const base::Instant now = base::Clock::now();
    fixture.state.cold_reported_at = now;
    fixture.state.cold_until = now + minutes(1);
    fixture.Apply();
    end();
    CHECK(fixture.crashes.empty());
  }
  SECTION("while it was warm: the running requests are reported") {
    end();
    CHECK(fixture.crashes.size() == 1);
  }
}

TEST_CASE("a gate with quarantine verdicts") {
  GateFixture fixture;
  fixture.state.admission.slots = 4;
  fixture.Apply();

  SECTION("refuses quarantined requests and capacity inquiries for them") {
    fixture.SetVerdicts(SomeVerdicts());
    fixture.BeginGuarded({kQuarantinedRequest});
    REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(1); }));
    CHECK(Error(fixture.results[1]) == "request-quarantined");
    CHECK(Outcome(fixture.results[1]) == "not-run");
    CHECK(Error(fixture.InquireCapacity({kQuarantinedRequest})) ==
          "request-quarantined");
    CHECK(fixture.served.empty());
    CHECK(fixture.InquireCapacity({kOther}).answer.status ==
          traffic::kCapacityAvailable);
  }

  SECTION("answers a known key from its record and runs no new request") {
    fixture.AcquireKeyOwnership();
    const auto first = fixture.BeginKeyed({kQuarantinedRequest}, "k");
    REQUIRE(fixture.RunUntil([&] { return fixture.results.size() == 1; }));
    REQUIRE(Outcome(fixture.results[first.sequence]) == "answered");
    fixture.SetVerdicts(SomeVerdicts());
    const auto again = fixture.BeginKeyed({kQuarantinedRequest}, "k");
    const auto other = fixture.BeginKeyed({kQuarantinedRequest}, "another");
    REQUIRE(fixture.RunUntil([&] { return fixture.results.size() == 3; }));
    CHECK(Outcome(fixture.results[again.sequence]) == "answered");
    const http_client::TransferResult& refused =
        fixture.results[other.sequence];
    CHECK(Error(refused) == "request-quarantined");
    CHECK(Outcome(refused) == "not-run");
    CHECK(net::FindHeader(refused.answer.headers, wire::kKeyNewHeader) ==
          "true");
    CHECK(fixture.served.size() == 1);
  }

  SECTION("reports that its server answered a suspect") {
    fixture.SetVerdicts(SomeVerdicts());
    fixture.BeginGuarded({kSuspect});
    REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(1); }));
    CHECK(Outcome(fixture.results[1]) == "answered");
    CHECK(fixture.answered_suspects == std::vector{kSuspect});
  }

  SECTION("runs one suspect at a time") {
    fixture.is_silent = true;
    fixture.BeginGuarded({kOther, true});
    REQUIRE(fixture.RunUntil([&] { return fixture.served.size() == 1; }));
    fixture.SetVerdicts(SomeVerdicts());
    fixture.BeginGuarded({kSuspect});
    REQUIRE(fixture.RunUntil([&] { return fixture.results.contains(2); }));
    CHECK(Error(fixture.results[2]) == "request-suspected");
    CHECK(Outcome(fixture.results[2]) == "not-run");
    SECTION("beside other requests") {
      fixture.BeginGuarded({{9}});
      CHECK(fixture.RunUntil([&] { return fixture.served.size() == 2; }));
    }
  }

  SECTION("stops running requests and refuses queued ones") {
    fixture.state.admission.slots = 1;
    fixture.Apply();
    fixture.is_silent = true;
    const auto running = fixture.BeginGuarded({kQuarantinedRequest});
    REQUIRE(fixture.RunUntil([&] { return fixture.served.size() == 1; }));
    const auto waiting = fixture.BeginGuarded({kQuarantinedRequest});
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.ControlAttempt(waiting, false) == "queued"; }));
    fixture.SetVerdicts(SomeVerdicts());
    REQUIRE(fixture.RunUntil([&] { return fixture.results.size() == 2; }));
    CHECK(fixture.RunUntil([&] { return fixture.closed_requests == 1; }));
    CHECK(Outcome(fixture.results[running.sequence]) == "unknown");
    CHECK(Error(fixture.results[running.sequence]) == "request-stopped");
    CHECK(Outcome(fixture.results[waiting.sequence]) == "not-run");
    CHECK(Error(fixture.results[waiting.sequence]) == "request-quarantined");
    CHECK(fixture.served.size() == 1);
  }
}

}  // namespace
}  // namespace chestnutport::test
