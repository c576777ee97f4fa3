// A gate whose server ends with what it runs, and one that knows verdicts.
#include <catch2/catch.hpp>

#include "support/gate_scene.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"

namespace chestnutport::test {
namespace {

using base::RequestFingerprint;
using quarantine::Verdict;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr RequestFingerprint kHeld{1};
constexpr RequestFingerprint kSuspect{2};
constexpr RequestFingerprint kOther{3};

quarantine::Verdicts SomeVerdicts() {
  quarantine::Verdicts verdicts;
  verdicts.Set(kHeld,
               {Verdict::kQuarantined, base::Clock::now() + minutes(10)});
  verdicts.Set(kSuspect, {Verdict::kSuspected, {}});
  return verdicts;
}

TEST_CASE("a server breaks off what it runs") {
  GateScene scene;
  scene.state.health_path = "/health";
  scene.state.admission.slots = 4;
  scene.state.probes.budget = 1;
  scene.Apply();
  scene.silent = true;
  scene.BeginGuarded({kOther});
  scene.BeginGuarded({kSuspect, true});
  // Probes come to the server as well.
  REQUIRE(scene.Until([&] { return scene.held.size() >= 2; }));

  SECTION("as it ends: what it ran is told, and the callers' nodes") {
    scene.EndServer();
    REQUIRE(scene.Until([&] { return !scene.crashes.empty(); }));
    REQUIRE(scene.crashes.size() == 1);
    const quarantine::ServerCrash& crash = scene.crashes[0];
    CHECK(crash.crash.life == scene.state.life);
    REQUIRE(crash.running.size() == 2);
    CHECK(crash.running[0].fingerprint == kSuspect);
    CHECK(crash.running[0].is_suspect);
    CHECK(crash.running[1].fingerprint == kOther);
    REQUIRE(scene.Until([&] { return scene.results.size() == 2; }));
    CHECK(Error(scene.results[1]) == "server-lost");
    CHECK(Outcome(scene.results[1]) == "unknown");
  }

  SECTION("though it goes on: that is no end") {
    scene.silent = false;
    scene.held.clear();
    REQUIRE(scene.Until([&] { return scene.results.size() == 2; }));
    CHECK(Outcome(scene.Run("GET")) == "answered");
    SECTION("also when it ends later, with nothing to do") {
      scene.EndServer();
      for (int i = 0; i < 3; ++i)
        CHECK(Error(scene.Run("GET")) == "connect-failed");
    }
    CHECK(scene.crashes.empty());
  }
}

TEST_CASE("a server ends that got more than a cold one tolerates") {
  GateScene scene;
  scene.state.health_path = "/health";
  scene.state.admission.slots = 4;
  scene.state.admission.cold = {.rate = 4, .burst = 0, .after_start = {}};
  scene.state.probes.budget = 1;
  scene.Apply();
  scene.silent = true;
  for (int i = 0; i < 3; ++i)
    scene.BeginGuarded({kOther});
  REQUIRE(scene.Until([&] { return scene.held.size() >= 3; }));
  const auto end = [&scene] {
    scene.EndServer();
    REQUIRE(scene.Until([&] { return scene.results.size() == 3; }));
    scene.Until([&] { return !scene.crashes.empty(); });
  };

  SECTION(
      "as it turned cold meanwhile: that explains it, no request is blamed") {
    const base::Instant now = base::Clock::now();
    scene.state.cold_reported_at = now;
    scene.state.cold_until = now + minutes(1);
    scene.Apply();
    end();
    CHECK(scene.crashes.empty());
  }
  SECTION("while it was warm: what it ran is told") {
    end();
    CHECK(scene.crashes.size() == 1);
  }
}

TEST_CASE("a gate that knows verdicts on requests") {
  GateScene scene;
  scene.state.admission.slots = 4;
  scene.Apply();

  SECTION("refuses what is in quarantine, and its place, unrun") {
    scene.SetVerdicts(SomeVerdicts());
    scene.BeginGuarded({kHeld});
    REQUIRE(scene.Until([&] { return scene.results.contains(1); }));
    CHECK(Error(scene.results[1]) == "request-quarantined");
    CHECK(Outcome(scene.results[1]) == "not-run");
    CHECK(Error(scene.Inquire({kHeld})) == "request-quarantined");
    CHECK(scene.served.empty());
    CHECK(scene.Inquire({kOther}).answer.status == traffic::kPlaceFree);
  }

  SECTION("still gives the answer on record of a key, and runs no new one") {
    scene.OwnKeys();
    const auto first = scene.BeginKeyed({kHeld}, "k");
    REQUIRE(scene.Until([&] { return scene.results.size() == 1; }));
    REQUIRE(Outcome(scene.results[first.sequence]) == "answered");
    scene.SetVerdicts(SomeVerdicts());
    const auto again = scene.BeginKeyed({kHeld}, "k");
    const auto other = scene.BeginKeyed({kHeld}, "another");
    REQUIRE(scene.Until([&] { return scene.results.size() == 3; }));
    CHECK(Outcome(scene.results[again.sequence]) == "answered");
    const net::TransferResult& refused = scene.results[other.sequence];
    CHECK(Error(refused) == "request-quarantined");
    CHECK(Outcome(refused) == "not-run");
    CHECK(net::FindHeader(refused.answer.headers, wire::kKeyNewHeader) ==
          "true");
    CHECK(scene.served.size() == 1);
  }

  SECTION("tells that its server answered a suspect") {
    scene.SetVerdicts(SomeVerdicts());
    scene.BeginGuarded({kSuspect});
    REQUIRE(scene.Until([&] { return scene.results.contains(1); }));
    CHECK(Outcome(scene.results[1]) == "answered");
    CHECK(scene.answered_suspects == std::vector{kSuspect});
  }

  SECTION("runs one suspect at a time") {
    scene.silent = true;
    scene.BeginGuarded({kOther, true});
    REQUIRE(scene.Until([&] { return scene.served.size() == 1; }));
    scene.SetVerdicts(SomeVerdicts());
    scene.BeginGuarded({kSuspect});
    REQUIRE(scene.Until([&] { return scene.results.contains(2); }));
    CHECK(Error(scene.results[2]) == "request-suspected");
    CHECK(Outcome(scene.results[2]) == "not-run");
    SECTION("and others beside it") {
      scene.BeginGuarded({{9}});
      CHECK(scene.Until([&] { return scene.served.size() == 2; }));
    }
  }

  SECTION("stops what runs, and lets nothing start that waited") {
    scene.state.admission.slots = 1;
    scene.Apply();
    scene.silent = true;
    const auto running = scene.BeginGuarded({kHeld});
    REQUIRE(scene.Until([&] { return scene.served.size() == 1; }));
    const auto waiting = scene.BeginGuarded({kHeld});
    REQUIRE(
        scene.Until([&] { return scene.Settle(waiting, false) == "queued"; }));
    scene.SetVerdicts(SomeVerdicts());
    REQUIRE(scene.Until([&] { return scene.results.size() == 2; }));
    CHECK(scene.Until([&] { return scene.gone == 1; }));
    CHECK(Outcome(scene.results[running.sequence]) == "unknown");
    CHECK(Error(scene.results[running.sequence]) == "request-stopped");
    CHECK(Outcome(scene.results[waiting.sequence]) == "not-run");
    CHECK(Error(scene.results[waiting.sequence]) == "request-quarantined");
    CHECK(scene.served.size() == 1);
  }
}

}  // namespace
}  // namespace chestnutport::test
