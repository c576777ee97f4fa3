// How soon a request is quarantined on all nodes, what that costs them in
// traffic, and whether nodes that were absent receive the evidence.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/gossip_fleet.h"

namespace chestnutport::membership {
namespace {

using base::RequestFingerprint;
using quarantine::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestFingerprint kPoison{7};
constexpr milliseconds kRun(90);
// Upper bounds of what a node sends while nothing happens, and of the rate and
// the burst of evidence.
constexpr double kIdleBytes = 1000;
constexpr double kEvidenceBytes = 2000;
constexpr double kEvidenceBurst = 20000;
// Time within which the evidence of the third crash has to reach all nodes;
// crashes by the request after that are late.
constexpr seconds kPropagationTime(3);

Verdict VerdictAt(test::GossipFleet& fleet, size_t slot) {
  return fleet.ledger(slot).VerdictOf(kPoison, fleet.now()).verdict;
}

bool AllQuarantine(test::GossipFleet& fleet) {
  for (size_t slot = 0; slot < fleet.size(); ++slot) {
    if (fleet.IsUp(slot) && VerdictAt(fleet, slot) != Verdict::kQuarantined)
      return false;
  }
  return true;
}

// Crashes the servers beside `slots`, which run only the poison request, 100 ms
// apart.
void CrashWithPoison(test::GossipFleet& fleet, std::vector<size_t> slots) {
  for (const size_t slot : slots) {
    fleet.CrashServer(slot, 1, {{kPoison, kRun, true}});
    fleet.RunFor(milliseconds(100));
  }
}

int64_t MillisecondsSince(const test::GossipFleet& fleet, base::Instant when) {
  return std::chrono::duration_cast<milliseconds>(fleet.now() - when).count();
}

// Returns the mean bytes per second that a node sent since `when`, when
// `before` had been sent.
double Rate(const test::GossipFleet& fleet,
            const test::GossipTraffic& before,
            base::Instant when) {
  const test::GossipTraffic& now = fleet.traffic();
  const uint64_t bytes = now.datagram_bytes - before.datagram_bytes +
                         now.pull_bytes - before.pull_bytes;
  return static_cast<double>(bytes) / static_cast<double>(fleet.size()) /
         std::chrono::duration<double>(fleet.now() - when).count();
}

TEST_CASE("all nodes learn soon that a request is quarantined") {
  const size_t members = GENERATE(size_t{30}, size_t{295}, size_t{3000});
  CAPTURE(members);
  test::GossipFleet fleet({.members = members, .seed = 11});
  fleet.RunFor(seconds(1));
  CrashWithPoison(fleet, {1, members / 2});
  const test::GossipTraffic before = fleet.traffic();
  const base::Instant third = fleet.now();
  fleet.CrashServer(members - 1, 1, {{kPoison, kRun, true}});
  CHECK(fleet.RunUntil([&] { return AllQuarantine(fleet); }, kPropagationTime));
  INFO(members << " nodes: known to all after "
               << MillisecondsSince(fleet, third) << " ms");
  fleet.RunFor(seconds(10));
  INFO("in the ten seconds after that " << Rate(fleet, before, third)
                                        << " B/s a node");
}

TEST_CASE("all nodes learn as soon while datagrams are lost") {
  test::GossipFleet fleet({.members = 295, .seed = 12, .loss = 0.05});
  fleet.RunFor(seconds(1));
  CrashWithPoison(fleet, {1, 150, 290});
  CHECK(fleet.RunUntil([&] { return AllQuarantine(fleet); }, kPropagationTime));
}

TEST_CASE(
    "all nodes learn as soon while servers crash with ever different "
    "requests") {
  // Ten of 295 servers crash each second, each with twelve requests of which
  // none occurs twice.
  constexpr size_t kMembers = 295;
  constexpr int kCrashes = 200;
  test::GossipFleet fleet({.members = kMembers, .seed = 13});
  fleet.RunFor(seconds(1));
  const test::GossipTraffic before = fleet.traffic();
  const base::Instant begin = fleet.now();
  uint64_t other = 1000;
  const auto crash_another = [&](int i) {
    std::vector<quarantine::RunningRequest> running;
    for (int request = 0; request < 12; ++request)
      running.push_back({{++other}, kRun});
    fleet.CrashServer(static_cast<size_t>(i) * 37 % kMembers,
                      static_cast<uint32_t>(10 + i), running);
    fleet.RunFor(milliseconds(100));
  };
  for (int i = 0; i < kCrashes; ++i)
    crash_another(i);
  CrashWithPoison(fleet, {1, 150, 290});
  const base::Instant third = fleet.now();
  CHECK(fleet.RunUntil([&] { return AllQuarantine(fleet); }, kPropagationTime));
  INFO("with 10 crashes a second: known to all after "
       << MillisecondsSince(fleet, third) << " ms, at "
       << Rate(fleet, before, begin) << " B/s a node");

  SECTION("the bytes sent are bounded") {
    CHECK(Rate(fleet, before, begin) <
          kIdleBytes + kEvidenceBytes + kEvidenceBurst / 20);
  }
  SECTION("the memory used is bounded") {
    for (size_t slot = 0; slot < kMembers; ++slot) {
      CHECK(fleet.ledger(slot).size() <= quarantine::CrashLedger::kMaxRequests);
    }
  }
}

TEST_CASE("the nodes that saw the crashes fail right after them") {
  const size_t members = GENERATE(size_t{30}, size_t{295});
  test::GossipFleet fleet({.members = members, .seed = 17});
  fleet.RunFor(seconds(1));
  for (const size_t slot : {size_t{1}, members / 2, members - 1}) {
    fleet.CrashServer(slot, 1, {{kPoison, kRun, true}});
    fleet.RunFor(milliseconds(30));
    fleet.Kill(slot);
    fleet.RunFor(milliseconds(100));
  }
  CHECK(fleet.RunUntil([&] { return AllQuarantine(fleet); }, kPropagationTime));
}

TEST_CASE("a node that was absent learns of the quarantine") {
  constexpr size_t kMembers = 30;
  constexpr size_t kAbsent = 4;
  test::GossipFleet fleet({.members = kMembers, .seed = 14});
  fleet.RunFor(seconds(1));

  SECTION("a starting node learns of it when it joins") {
    CrashWithPoison(fleet, {1, 7, 15, 29});
    REQUIRE(
        fleet.RunUntil([&] { return AllQuarantine(fleet); }, kPropagationTime));
    fleet.Start(kAbsent, 9);
    CHECK(fleet.RunUntil([&] { return AllQuarantine(fleet); }, seconds(1)));
  }
  SECTION("a node that was frozen or partitioned learns of it afterwards") {
    const bool is_frozen = GENERATE(true, false);
    if (is_frozen)
      fleet.Freeze(kAbsent);
    else
      fleet.Partition([](size_t from, size_t to) {
        return (from == kAbsent) != (to == kAbsent);
      });
    fleet.RunFor(seconds(2));
    CrashWithPoison(fleet, {1, 7, 15, 29});
    fleet.RunFor(seconds(10));
    CHECK(VerdictAt(fleet, kAbsent) == Verdict::kFree);
    if (is_frozen)
      fleet.Resume(kAbsent);
    else
      fleet.Partition(nullptr);
    CHECK(fleet.RunUntil([&] { return AllQuarantine(fleet); }, seconds(8)));
  }
  SECTION("both sides of a partition exchange their evidence") {
    fleet.Partition(
        [](size_t from, size_t to) { return (from < 15) != (to < 15); });
    CrashWithPoison(fleet, {1, 16, 29, 20, 18});
    fleet.RunFor(seconds(10));
    CHECK(VerdictAt(fleet, 0) == Verdict::kFree);
    CHECK(VerdictAt(fleet, 20) == Verdict::kQuarantined);
    fleet.Partition(nullptr);
    CHECK(fleet.RunUntil([&] { return AllQuarantine(fleet); }, seconds(20)));
  }
}

TEST_CASE("all nodes learn as soon that a request is free again") {
  test::GossipFleet fleet({.members = 295, .seed = 15});
  fleet.RunFor(seconds(1));
  CrashWithPoison(fleet, {1, 150, 290});
  REQUIRE(
      fleet.RunUntil([&] { return AllQuarantine(fleet); }, kPropagationTime));
  fleet.Refute(40, kPoison);
  const auto all_free = [&] {
    for (size_t slot = 0; slot < fleet.size(); ++slot) {
      if (VerdictAt(fleet, slot) != Verdict::kFree)
        return false;
    }
    return true;
  };
  CHECK(fleet.RunUntil(all_free, kPropagationTime));
  SECTION("and it stays free") {
    fleet.RunFor(seconds(30));
    CHECK(all_free());
  }
}

TEST_CASE("more crashes of one request than are kept") {
  // A popular request is running at each crash.
  constexpr size_t kMembers = 295;
  test::GossipFleet fleet({.members = kMembers, .seed = 16});
  fleet.RunFor(seconds(1));
  const auto all_equal = [&] {
    for (size_t slot = 1; slot < kMembers; ++slot) {
      if (fleet.ledger(slot).digest() != fleet.ledger(0).digest())
        return false;
    }
    return true;
  };
  const auto crash_all = [&] {
    for (size_t slot = 0; slot < kMembers; ++slot) {
      fleet.CrashServer(slot, 1, {{kPoison, kRun, true}});
      fleet.RunFor(milliseconds(1));
    }
  };
  const auto idle_bytes_per_second = [&] {
    const test::GossipTraffic before = fleet.traffic();
    const base::Instant begin = fleet.now();
    fleet.RunFor(seconds(10));
    return Rate(fleet, before, begin);
  };

  SECTION("all servers crash with it within 0.3 s") {
    crash_all();
    fleet.RunFor(seconds(20));
    CHECK(all_equal());
    CHECK(idle_bytes_per_second() < kIdleBytes);
    SECTION("and it is answered afterwards") {
      fleet.Refute(40, kPoison);
      fleet.RunFor(seconds(20));
      CHECK(all_equal());
      CHECK(VerdictAt(fleet, 0) == Verdict::kFree);
      CHECK(VerdictAt(fleet, 200) == Verdict::kFree);
      CHECK(idle_bytes_per_second() < kIdleBytes);
    }
  }
  SECTION("it is answered on both sides of a partition, after crashes there") {
    fleet.Partition([](size_t from, size_t to) {
      return (from < kMembers / 2) != (to < kMembers / 2);
    });
    for (uint32_t life = 1; life <= 6; ++life) {
      CrashWithPoison(fleet, {life, 20 + life, 200 + life, 250 + life});
      fleet.RunFor(seconds(1));
      fleet.Refute(40, kPoison);
      fleet.Refute(240, kPoison);
      fleet.RunFor(seconds(1));
    }
    fleet.Partition(nullptr);
    fleet.RunFor(seconds(40));
    CHECK(all_equal());
    CHECK(VerdictAt(fleet, 0) == Verdict::kFree);
    CHECK(idle_bytes_per_second() < kIdleBytes);
  }
}

}  // namespace
}  // namespace chestnutport::membership
