// How soon all nodes know that a request is in quarantine, what that costs
// them, and what holds for nodes that were not there.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/gossip_fleet.h"

namespace chestnutport::membership {
namespace {

using base::RequestFingerprint;
using quarantine::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestFingerprint kGuilty{7};
constexpr milliseconds kRun(90);
// What a node sends at rest, at most, and for this: bounds by construction.
constexpr double kBytesAtRest = 1000;
constexpr double kEvidenceBytes = 2000;
constexpr double kEvidenceBurst = 20000;
// In which all nodes have to know: the aim gives 3 s from the third end to the
// moment from which on what they send counts.
constexpr seconds kTimeToHear(3);

Verdict VerdictAt(test::GossipFleet& fleet, size_t slot) {
  return fleet.ledger(slot).VerdictOf(kGuilty, fleet.now()).verdict;
}

bool AllHold(test::GossipFleet& fleet) {
  for (size_t slot = 0; slot < fleet.size(); ++slot) {
    if (fleet.IsUp(slot) && VerdictAt(fleet, slot) != Verdict::kQuarantined)
      return false;
  }
  return true;
}

// The servers beside `slots` end with the request alone, 100 ms apart.
void EndWithIt(test::GossipFleet& fleet, std::vector<size_t> slots) {
  for (const size_t slot : slots) {
    fleet.CrashServer(slot, 1, {{kGuilty, kRun, true}});
    fleet.RunFor(milliseconds(100));
  }
}

int64_t MillisecondsSince(const test::GossipFleet& fleet, base::Instant when) {
  return std::chrono::duration_cast<milliseconds>(fleet.now() - when).count();
}

// Bytes that a node sent in a second on the mean, since `when`, when `before`
// had been sent.
double Rate(const test::GossipFleet& fleet,
            const test::GossipTraffic& before,
            base::Instant when) {
  const test::GossipTraffic& now = fleet.traffic();
  const uint64_t bytes = now.datagram_bytes - before.datagram_bytes +
                         now.pull_bytes - before.pull_bytes;
  return static_cast<double>(bytes) / static_cast<double>(fleet.size()) /
         std::chrono::duration<double>(fleet.now() - when).count();
}

TEST_CASE("all nodes know soon that a request is in quarantine") {
  const size_t members = GENERATE(size_t{30}, size_t{295}, size_t{3000});
  CAPTURE(members);
  test::GossipFleet fleet({.members = members, .seed = 11});
  fleet.RunFor(seconds(1));
  EndWithIt(fleet, {1, members / 2});
  const test::GossipTraffic before = fleet.traffic();
  const base::Instant third = fleet.now();
  fleet.CrashServer(members - 1, 1, {{kGuilty, kRun, true}});
  CHECK(fleet.RunUntil([&] { return AllHold(fleet); }, kTimeToHear));
  INFO(members << " nodes: known at all after "
               << MillisecondsSince(fleet, third) << " ms");
  fleet.RunFor(seconds(10));
  INFO("in the ten seconds after it " << Rate(fleet, before, third)
                                      << " B/s a node");
}

TEST_CASE("and no less soon while datagrams are lost") {
  test::GossipFleet fleet({.members = 295, .seed = 12, .loss = 0.05});
  fleet.RunFor(seconds(1));
  EndWithIt(fleet, {1, 150, 290});
  CHECK(fleet.RunUntil([&] { return AllHold(fleet); }, kTimeToHear));
}

TEST_CASE("and while servers end with ever different requests") {
  // Ten a second of 295 servers, each with twelve requests: of those that are
  // marked, none is heard of twice.
  constexpr size_t kMembers = 295;
  constexpr int kEnds = 200;
  test::GossipFleet fleet({.members = kMembers, .seed = 13});
  fleet.RunFor(seconds(1));
  const test::GossipTraffic before = fleet.traffic();
  const base::Instant begin = fleet.now();
  uint64_t other = 1000;
  const auto end_another = [&](int i) {
    std::vector<quarantine::RunningRequest> running;
    for (int request = 0; request < 12; ++request)
      running.push_back({{++other}, kRun});
    fleet.CrashServer(static_cast<size_t>(i) * 37 % kMembers,
                      static_cast<uint32_t>(10 + i), running);
    fleet.RunFor(milliseconds(100));
  };
  for (int i = 0; i < kEnds; ++i)
    end_another(i);
  EndWithIt(fleet, {1, 150, 290});
  const base::Instant third = fleet.now();
  CHECK(fleet.RunUntil([&] { return AllHold(fleet); }, kTimeToHear));
  INFO("among 10 ends a second: known at all after "
       << MillisecondsSince(fleet, third) << " ms, at "
       << Rate(fleet, before, begin) << " B/s a node");

  SECTION("for a bounded number of bytes") {
    CHECK(Rate(fleet, before, begin) <
          kBytesAtRest + kEvidenceBytes + kEvidenceBurst / 20);
  }
  SECTION("and of memory") {
    for (size_t slot = 0; slot < kMembers; ++slot) {
      CHECK(fleet.ledger(slot).size() <= quarantine::CrashLedger::kMaxRequests);
    }
  }
}

TEST_CASE("nodes that saw the ends may be gone at once") {
  const size_t members = GENERATE(size_t{30}, size_t{295});
  test::GossipFleet fleet({.members = members, .seed = 17});
  fleet.RunFor(seconds(1));
  for (const size_t slot : {size_t{1}, members / 2, members - 1}) {
    fleet.CrashServer(slot, 1, {{kGuilty, kRun, true}});
    fleet.RunFor(milliseconds(30));
    fleet.Kill(slot);
    fleet.RunFor(milliseconds(100));
  }
  CHECK(fleet.RunUntil([&] { return AllHold(fleet); }, kTimeToHear));
}

TEST_CASE("a node that was not there hears of it too") {
  constexpr size_t kMembers = 30;
  constexpr size_t kAbsent = 4;
  test::GossipFleet fleet({.members = kMembers, .seed = 14});
  fleet.RunFor(seconds(1));

  SECTION("one that starts, with the first that it learns of the fleet") {
    EndWithIt(fleet, {1, 7, 15, 29});
    REQUIRE(fleet.RunUntil([&] { return AllHold(fleet); }, kTimeToHear));
    fleet.Start(kAbsent, 9);
    CHECK(fleet.RunUntil([&] { return AllHold(fleet); }, seconds(1)));
  }
  SECTION("one that was frozen, and one that was cut off") {
    const bool is_frozen = GENERATE(true, false);
    if (is_frozen)
      fleet.Freeze(kAbsent);
    else
      fleet.Partition([](size_t from, size_t to) {
        return (from == kAbsent) != (to == kAbsent);
      });
    fleet.RunFor(seconds(2));
    EndWithIt(fleet, {1, 7, 15, 29});
    fleet.RunFor(seconds(10));
    CHECK(VerdictAt(fleet, kAbsent) == Verdict::kFree);
    if (is_frozen)
      fleet.Resume(kAbsent);
    else
      fleet.Partition(nullptr);
    CHECK(fleet.RunUntil([&] { return AllHold(fleet); }, seconds(8)));
  }
  SECTION("each side of a cut tells the other what it saw") {
    fleet.Partition(
        [](size_t from, size_t to) { return (from < 15) != (to < 15); });
    EndWithIt(fleet, {1, 16, 29, 20, 18});
    fleet.RunFor(seconds(10));
    CHECK(VerdictAt(fleet, 0) == Verdict::kFree);
    CHECK(VerdictAt(fleet, 20) == Verdict::kQuarantined);
    fleet.Partition(nullptr);
    CHECK(fleet.RunUntil([&] { return AllHold(fleet); }, seconds(20)));
  }
}

TEST_CASE("that a request is free again is heard as soon") {
  test::GossipFleet fleet({.members = 295, .seed = 15});
  fleet.RunFor(seconds(1));
  EndWithIt(fleet, {1, 150, 290});
  REQUIRE(fleet.RunUntil([&] { return AllHold(fleet); }, kTimeToHear));
  fleet.Refute(40, kGuilty);
  const auto all_free = [&] {
    for (size_t slot = 0; slot < fleet.size(); ++slot) {
      if (VerdictAt(fleet, slot) != Verdict::kFree)
        return false;
    }
    return true;
  };
  CHECK(fleet.RunUntil(all_free, kTimeToHear));
  SECTION("and stays so") {
    fleet.RunFor(seconds(30));
    CHECK(all_free());
  }
}

TEST_CASE("more ends of one request than are kept") {
  // What many callers ask for all the time runs at each of them.
  constexpr size_t kMembers = 295;
  test::GossipFleet fleet({.members = kMembers, .seed = 16});
  fleet.RunFor(seconds(1));
  const auto all_alike = [&] {
    for (size_t slot = 1; slot < kMembers; ++slot) {
      if (fleet.ledger(slot).digest() != fleet.ledger(0).digest())
        return false;
    }
    return true;
  };
  const auto end_all = [&] {
    for (size_t slot = 0; slot < kMembers; ++slot) {
      fleet.CrashServer(slot, 1, {{kGuilty, kRun, true}});
      fleet.RunFor(milliseconds(1));
    }
  };
  const auto bytes_at_rest = [&] {
    const test::GossipTraffic before = fleet.traffic();
    const base::Instant begin = fleet.now();
    fleet.RunFor(seconds(10));
    return Rate(fleet, before, begin);
  };

  SECTION("all servers end with it within 0.3 s") {
    end_all();
    fleet.RunFor(seconds(20));
    CHECK(all_alike());
    CHECK(bytes_at_rest() < kBytesAtRest);
    SECTION("and it is answered") {
      fleet.Refute(40, kGuilty);
      fleet.RunFor(seconds(20));
      CHECK(all_alike());
      CHECK(VerdictAt(fleet, 0) == Verdict::kFree);
      CHECK(VerdictAt(fleet, 200) == Verdict::kFree);
      CHECK(bytes_at_rest() < kBytesAtRest);
    }
  }
  SECTION("it is answered on both sides of a cut, after ends there") {
    fleet.Partition([](size_t from, size_t to) {
      return (from < kMembers / 2) != (to < kMembers / 2);
    });
    for (uint32_t life = 1; life <= 6; ++life) {
      EndWithIt(fleet, {life, 20 + life, 200 + life, 250 + life});
      fleet.RunFor(seconds(1));
      fleet.Refute(40, kGuilty);
      fleet.Refute(240, kGuilty);
      fleet.RunFor(seconds(1));
    }
    fleet.Partition(nullptr);
    fleet.RunFor(seconds(40));
    CHECK(all_alike());
    CHECK(VerdictAt(fleet, 0) == Verdict::kFree);
    CHECK(bytes_at_rest() < kBytesAtRest);
  }
}

}  // namespace
}  // namespace chestnutport::membership
