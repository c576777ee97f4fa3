// Verdicts that nodes derive from the requests running when servers crashed.
#include "quarantine/crash_ledger.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

namespace chestnutport::quarantine {
namespace {

using base::Instant;
using base::RequestFingerprint;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};
constexpr RequestFingerprint kPoison{1};
constexpr RequestFingerprint kInnocent{2};

// Returns a crash of incarnation `life` of the server beside `node`.
ServerCrash Crash(uint64_t node,
                  uint32_t life,
                  const std::vector<RequestFingerprint>& running,
                  base::Duration run_time = milliseconds(90)) {
  ServerCrash crash{{{node}, life}, {}};
  const bool is_sole_suspect = running.size() == 1;
  for (const RequestFingerprint& fingerprint : running)
    crash.running.push_back({fingerprint, run_time, is_sole_suspect});
  return crash;
}

TEST_CASE("several servers crash with the same request") {
  CrashLedger ledger;
  const auto verdict = [&](RequestFingerprint fingerprint, Instant now) {
    return ledger.VerdictOf(fingerprint, now).verdict;
  };
  ledger.AddCrash(Crash(11, 1, {kPoison, kInnocent}), kStart);

  SECTION("after the first crash no request has a verdict") {
    CHECK(verdict(kPoison, kStart) == Verdict::kFree);
    CHECK(verdict(kInnocent, kStart) == Verdict::kFree);
    CHECK(ledger.AllVerdicts(kStart).empty());
  }

  ledger.AddCrash(Crash(12, 1, {kPoison}), kStart + milliseconds(100));
  SECTION("after the second the request is suspected and still runs") {
    CHECK(verdict(kPoison, kStart + seconds(1)) == Verdict::kSuspected);
    CHECK(verdict(kInnocent, kStart + seconds(1)) == Verdict::kFree);
  }

  const Instant third = kStart + seconds(1);
  ledger.AddCrash(Crash(13, 1, {kPoison}), third);
  SECTION("after the third it is quarantined for a short time") {
    const VerdictUntil passed = ledger.VerdictOf(kPoison, third);
    CHECK(passed.verdict == Verdict::kQuarantined);
    CHECK(passed.until == third + CrashLedger::kFirstQuarantinePeriod);
    CHECK(verdict(kInnocent, third) == Verdict::kFree);
  }
  const Instant tried =
      third + CrashLedger::kFirstQuarantinePeriod + seconds(1);
  SECTION("then it is tried again as a suspect") {
    CHECK(verdict(kPoison, tried) == Verdict::kSuspected);
    SECTION("and is free if a server answers it") {
      CHECK(ledger.Refute(kPoison, tried));
      CHECK(verdict(kPoison, tried) == Verdict::kFree);
    }
    SECTION("and is forgotten if it is not sent again") {
      ledger.Expire(third + CrashLedger::kRetention + seconds(1));
      CHECK(ledger.size() == 0);
    }
  }
  SECTION("a fourth crash quarantines it for longer") {
    ledger.AddCrash(Crash(14, 1, {kPoison}), tried);
    CHECK(ledger.VerdictOf(kPoison, tried).until ==
          tried + CrashLedger::kQuarantinePeriod);
    const Instant again = tried + CrashLedger::kQuarantinePeriod;
    CHECK(verdict(kPoison, again - seconds(1)) == Verdict::kQuarantined);
    CHECK(verdict(kPoison, again) == Verdict::kSuspected);
    SECTION("and each further crash quarantines it again") {
      ledger.AddCrash(Crash(15, 1, {kPoison}), again);
      CHECK(verdict(kPoison, again + minutes(9)) == Verdict::kQuarantined);
    }
  }
  SECTION("a crash that is reported twice counts once") {
    CHECK(ledger.AddCrash(Crash(13, 1, {kPoison}), third).empty());
    CHECK(ledger.Find(kPoison)->crashes.size() == 3);
  }
}

TEST_CASE("a long-running request while servers crash for other reasons") {
  // Each of seven servers crashes every ten seconds for two minutes, regardless
  // of the requests that it runs. An export of ten seconds is running at each
  // crash of its server, is retried and is running again when the next server
  // crashes.
  constexpr RequestFingerprint kExport{3};
  CrashLedger ledger;
  uint64_t other = 100;
  for (uint32_t round = 1; round <= 12; ++round) {
    for (uint64_t node = 11; node <= 17; ++node) {
      std::vector<RequestFingerprint> running = {{++other}};
      if (node == 11 + round % 7)
        running.push_back(kExport);
      ledger.AddCrash(Crash(node, round, running, seconds(10)),
                      kStart + round * seconds(10) + node * seconds(1));
    }
  }
  const Instant end = kStart + seconds(140);
  CHECK(ledger.VerdictOf(kExport, end).verdict != Verdict::kQuarantined);

  SECTION("a short request that crashes servers is still quarantined") {
    const auto begin = end + seconds(1);
    for (uint32_t i = 1; i <= 3; ++i) {
      ledger.AddCrash(Crash(10 + i, 20, {kPoison}),
                      begin + i * milliseconds(100));
    }
    CHECK(ledger.VerdictOf(kPoison, begin + seconds(1)).verdict ==
          Verdict::kQuarantined);
  }
}

TEST_CASE("a refutation overrides the crashes known before") {
  CrashLedger here;
  CrashLedger there;
  for (uint32_t i = 1; i <= 3; ++i) {
    for (const auto& evidence :
         here.AddCrash(Crash(10 + i, 1, {kPoison}), kStart))
      there.Merge(evidence, kStart);
  }
  REQUIRE(there.VerdictOf(kPoison, kStart).verdict == Verdict::kQuarantined);
  const auto refuted = here.Refute(kPoison, kStart);
  REQUIRE(refuted);
  CHECK(here.VerdictOf(kPoison, kStart).verdict == Verdict::kFree);
  CHECK(there.Merge(*refuted, kStart));
  CHECK(there.VerdictOf(kPoison, kStart).verdict == Verdict::kFree);

  SECTION("also on a node that receives the crashes after it") {
    CrashLedger late;
    late.Merge(*refuted, kStart);
    late.Merge({kPoison,
                {{.crash = {{11}, 1}, .at = kStart},
                 {.crash = {{12}, 1}, .at = kStart}},
                {}},
               kStart);
    CHECK(late.VerdictOf(kPoison, kStart).verdict == Verdict::kFree);
  }
  SECTION("but not later crashes") {
    for (uint32_t i = 1; i <= 3; ++i)
      here.AddCrash(Crash(10 + i, 2, {kPoison}), kStart + seconds(1));
    CHECK(here.VerdictOf(kPoison, kStart + seconds(1)).verdict ==
          Verdict::kQuarantined);
  }
}

TEST_CASE("the number of requests is bounded") {
  CrashLedger ledger;
  for (uint32_t i = 1; i <= 4; ++i)
    ledger.AddCrash(Crash(10 + i, 1, {kPoison}), kStart);
  for (uint64_t i = 0; i < 3 * CrashLedger::kMaxRequests; ++i) {
    ledger.AddCrash(Crash(11, static_cast<uint32_t>(100 + i), {{1000 + i}}),
                    kStart + milliseconds(i));
  }
  CHECK(ledger.size() <= CrashLedger::kMaxRequests);
  CHECK(ledger.VerdictOf(kPoison, kStart + seconds(15)).verdict ==
        Verdict::kQuarantined);
}

TEST_CASE("ledgers with the same evidence reach the same verdicts") {
  rc::prop("in any order and with duplicates", [] {
    std::vector<RequestEvidence> received;
    const auto count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
      RequestEvidence one{{*rc::gen::inRange<uint64_t>(1, 4)}, {}, {}};
      const CrashId crash{{*rc::gen::inRange<uint64_t>(1, 12)},
                          *rc::gen::inRange<uint32_t>(1, 3)};
      // Some crashes have the same Lamport time.
      const uint64_t lamport_time = crash.node.value / 2 + 10 * crash.life;
      const auto age = milliseconds(crash.node.value * 10 + crash.life);
      if (*rc::gen::inRange(0, 4) == 0)
        one.refuted.push_back({crash, lamport_time});
      else
        one.crashes.push_back({.crash = crash,
                               .lamport_time = lamport_time,
                               .is_sole_suspect = true,
                               .at = kStart - age});
      received.push_back(one);
    }
    CrashLedger first;
    for (const RequestEvidence& one : received)
      first.Merge(one, kStart);
    auto shuffled = received;
    base::Random random(*rc::gen::arbitrary<uint64_t>());
    std::ranges::shuffle(shuffled, random);
    CrashLedger second;
    for (const RequestEvidence& one : shuffled) {
      second.Merge(one, kStart);
      second.Merge(one, kStart);
    }
    RC_ASSERT(first.digest() == second.digest());
    for (uint64_t i = 1; i < 4; ++i) {
      RC_ASSERT(first.VerdictOf({i}, kStart) == second.VerdictOf({i}, kStart));
    }
  });

  rc::prop("and shared evidence gives an empty ledger the same verdicts", [] {
    CrashLedger full;
    const auto count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
      full.AddCrash(Crash(*rc::gen::inRange<uint64_t>(11, 18),
                          *rc::gen::inRange<uint32_t>(1, 4),
                          {{*rc::gen::inRange<uint64_t>(1, 4)}}),
                    kStart);
    }
    CrashLedger fresh;
    for (const RequestEvidence& evidence : full.SharedEvidence())
      fresh.Merge(evidence, kStart);
    RC_ASSERT(fresh.digest() == full.digest());
    for (uint64_t i = 1; i < 4; ++i)
      RC_ASSERT(fresh.VerdictOf({i}, kStart) == full.VerdictOf({i}, kStart));
  });
}

}  // namespace
}  // namespace chestnutport::quarantine
