// What nodes conclude from the requests that servers ran when they ended.
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
constexpr RequestFingerprint kGuilty{1};
constexpr RequestFingerprint kBeside{2};

// The server beside `node` ended, in its life `life`.
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

TEST_CASE("servers end with a request one after the other") {
  CrashLedger ledger;
  const auto verdict = [&](RequestFingerprint fingerprint, Instant now) {
    return ledger.VerdictOf(fingerprint, now).verdict;
  };
  ledger.AddCrash(Crash(11, 1, {kGuilty, kBeside}), kStart);

  SECTION("at the first end all that ran are alike") {
    CHECK(verdict(kGuilty, kStart) == Verdict::kFree);
    CHECK(verdict(kBeside, kStart) == Verdict::kFree);
    CHECK(ledger.AllVerdicts(kStart).empty());
  }

  ledger.AddCrash(Crash(12, 1, {kGuilty}), kStart + milliseconds(100));
  SECTION("at the second one is suspected, and goes on") {
    CHECK(verdict(kGuilty, kStart + seconds(1)) == Verdict::kSuspected);
    CHECK(verdict(kBeside, kStart + seconds(1)) == Verdict::kFree);
  }

  const Instant third = kStart + seconds(1);
  ledger.AddCrash(Crash(13, 1, {kGuilty}), third);
  SECTION("at the third it is put in quarantine for a moment") {
    const VerdictUntil passed = ledger.VerdictOf(kGuilty, third);
    CHECK(passed.verdict == Verdict::kQuarantined);
    CHECK(passed.until == third + CrashLedger::kFirstQuarantinePeriod);
    CHECK(verdict(kBeside, third) == Verdict::kFree);
  }
  const Instant tried =
      third + CrashLedger::kFirstQuarantinePeriod + seconds(1);
  SECTION("and is tried again when that has passed") {
    CHECK(verdict(kGuilty, tried) == Verdict::kSuspected);
    SECTION("to be free for good if a server answers it") {
      CHECK(ledger.Refute(kGuilty, tried));
      CHECK(verdict(kGuilty, tried) == Verdict::kFree);
    }
    SECTION("and forgotten if it does not come") {
      ledger.Expire(third + CrashLedger::kRetention + seconds(1));
      CHECK(ledger.size() == 0);
    }
  }
  SECTION("with one end more it stays there") {
    ledger.AddCrash(Crash(14, 1, {kGuilty}), tried);
    CHECK(ledger.VerdictOf(kGuilty, tried).until ==
          tried + CrashLedger::kQuarantinePeriod);
    const Instant again = tried + CrashLedger::kQuarantinePeriod;
    CHECK(verdict(kGuilty, again - seconds(1)) == Verdict::kQuarantined);
    CHECK(verdict(kGuilty, again) == Verdict::kSuspected);
    SECTION("and, once it is tried again, with each further one") {
      ledger.AddCrash(Crash(15, 1, {kGuilty}), again);
      CHECK(verdict(kGuilty, again + minutes(9)) == Verdict::kQuarantined);
    }
  }
  SECTION("one end counts once, however often it is told") {
    CHECK(ledger.AddCrash(Crash(13, 1, {kGuilty}), third).empty());
    CHECK(ledger.Find(kGuilty)->crashes.size() == 3);
  }
}

TEST_CASE("a request that runs for long while servers end for other reasons") {
  // Each of seven servers ends every ten seconds, whatever it runs, for two
  // minutes. An export of ten seconds runs at each end of its server, is
  // retried, and runs at the end of the next.
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

  SECTION("while a short one is known for what it is among as many ends") {
    const auto begin = end + seconds(1);
    for (uint32_t i = 1; i <= 3; ++i) {
      ledger.AddCrash(Crash(10 + i, 20, {kGuilty}),
                      begin + i * milliseconds(100));
    }
    CHECK(ledger.VerdictOf(kGuilty, begin + seconds(1)).verdict ==
          Verdict::kQuarantined);
  }
}

TEST_CASE("what a server answered outweighs what was known against it") {
  CrashLedger here;
  CrashLedger there;
  for (uint32_t i = 1; i <= 3; ++i) {
    for (const auto& told : here.AddCrash(Crash(10 + i, 1, {kGuilty}), kStart))
      there.Merge(told, kStart);
  }
  REQUIRE(there.VerdictOf(kGuilty, kStart).verdict == Verdict::kQuarantined);
  const auto refuted = here.Refute(kGuilty, kStart);
  REQUIRE(refuted);
  CHECK(here.VerdictOf(kGuilty, kStart).verdict == Verdict::kFree);
  CHECK(there.Merge(*refuted, kStart));
  CHECK(there.VerdictOf(kGuilty, kStart).verdict == Verdict::kFree);

  SECTION("also where the ends are heard of only later") {
    CrashLedger late;
    late.Merge(*refuted, kStart);
    late.Merge({kGuilty,
                {{.crash = {{11}, 1}, .at = kStart},
                 {.crash = {{12}, 1}, .at = kStart}},
                {}},
               kStart);
    CHECK(late.VerdictOf(kGuilty, kStart).verdict == Verdict::kFree);
  }
  SECTION("but not later ends") {
    for (uint32_t i = 1; i <= 3; ++i)
      here.AddCrash(Crash(10 + i, 2, {kGuilty}), kStart + seconds(1));
    CHECK(here.VerdictOf(kGuilty, kStart + seconds(1)).verdict ==
          Verdict::kQuarantined);
  }
}

TEST_CASE("memory is bounded") {
  CrashLedger ledger;
  for (uint32_t i = 1; i <= 4; ++i)
    ledger.AddCrash(Crash(10 + i, 1, {kGuilty}), kStart);
  for (uint64_t i = 0; i < 3 * CrashLedger::kMaxRequests; ++i) {
    ledger.AddCrash(Crash(11, static_cast<uint32_t>(100 + i), {{1000 + i}}),
                    kStart + milliseconds(i));
  }
  CHECK(ledger.size() <= CrashLedger::kMaxRequests);
  CHECK(ledger.VerdictOf(kGuilty, kStart + seconds(15)).verdict ==
        Verdict::kQuarantined);
}

TEST_CASE("ledgers that have heard the same judge the same") {
  rc::prop("in whatever order, and however often", [] {
    std::vector<RequestEvidence> heard;
    const auto count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
      RequestEvidence one{{*rc::gen::inRange<uint64_t>(1, 4)}, {}, {}};
      const CrashId crash{{*rc::gen::inRange<uint64_t>(1, 12)},
                          *rc::gen::inRange<uint32_t>(1, 3)};
      // Some ends knew nothing of each other.
      const uint64_t lamport_time = crash.node.value / 2 + 10 * crash.life;
      const auto age = milliseconds(crash.node.value * 10 + crash.life);
      if (*rc::gen::inRange(0, 4) == 0)
        one.refuted.push_back({crash, lamport_time});
      else
        one.crashes.push_back({.crash = crash,
                               .lamport_time = lamport_time,
                               .is_sole_suspect = true,
                               .at = kStart - age});
      heard.push_back(one);
    }
    CrashLedger first;
    for (const RequestEvidence& one : heard)
      first.Merge(one, kStart);
    auto shuffled = heard;
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

  rc::prop("and one that knows nothing is told all that decides", [] {
    CrashLedger full;
    const auto count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
      full.AddCrash(Crash(*rc::gen::inRange<uint64_t>(11, 18),
                          *rc::gen::inRange<uint32_t>(1, 4),
                          {{*rc::gen::inRange<uint64_t>(1, 4)}}),
                    kStart);
    }
    CrashLedger fresh;
    for (const RequestEvidence& told : full.SharedEvidence())
      fresh.Merge(told, kStart);
    RC_ASSERT(fresh.digest() == full.digest());
    for (uint64_t i = 1; i < 4; ++i)
      RC_ASSERT(fresh.VerdictOf({i}, kStart) == full.VerdictOf({i}, kStart));
  });
}

}  // namespace
}  // namespace chestnutport::quarantine
