// Which nodes read the store, and how often.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "configuration/read_pace.h"
#include "configuration/reader_choice.h"

namespace chestnutport::configuration {
namespace {

using membership::Member;

std::vector<Member> MakeFleet(size_t nodes,
                              size_t data_centres,
                              base::Random& random) {
  std::vector<Member> members(nodes);
  for (size_t i = 0; i < nodes; ++i) {
    members[i].id = base::NodeId::Draw(random);
    members[i].data_centre = "dc" + std::to_string(i % data_centres);
  }
  return members;
}

size_t CountReaders(const std::vector<Member>& members) {
  size_t readers = 0;
  for (const Member& member : members)
    readers += IsReader(member, members);
  return readers;
}

// Readings of one reader in an hour of virtual time.
int CountReadings(bool failing, bool alone, base::Random& random) {
  ReadPace pace;
  base::Duration at = ReadPace().First(random);
  int readings = 0;
  for (; at < std::chrono::hours(1); ++readings)
    at += pace.Next(failing, alone, random);
  return readings;
}

TEST_CASE(
    "of nodes that start together a few read at once, the others hear it") {
  base::Random random(1);
  const ReadPace pace;
  int early = 0;
  for (int node = 0; node < 300; ++node) {
    const base::Duration wait = pace.First(random);
    CHECK(wait <= kFirstReadSpread);
    early += wait < kFirstReadSpread / 4 ? 1 : 0;
  }
  CHECK(early >= 1);
  CHECK(early <= 15);
}

TEST_CASE("of readers whose watches began together one soon asks again") {
  constexpr int kPlays = 1000;
  constexpr int kReaders = 8;  // Of four data centres.
  base::Random random(1);
  std::vector<std::chrono::milliseconds> first_ends;
  for (int play = 0; play < kPlays; ++play) {
    auto first = kLongestWatch;
    for (int reader = 0; reader < kReaders; ++reader)
      first = std::min(first, ReadPace::WatchWait(random));
    first_ends.push_back(first);
  }
  std::ranges::sort(first_ends);
  CHECK(first_ends.front() >= kShortestWatch);
  CHECK(first_ends[kPlays / 2] <= std::chrono::seconds(3));
  CHECK(first_ends[kPlays * 99 / 100] <= std::chrono::seconds(6));
}

TEST_CASE("the fleet's readings do not grow with the fleet") {
  base::Random random(1);
  for (const size_t nodes : {28, 100, 3000}) {
    auto fleet = MakeFleet(nodes, 14, random);
    CHECK(CountReaders(fleet) == 14 * kReadersPerDataCentre);
    SECTION("a reader that dies has a successor") {
      for (Member& member : fleet) {
        if (IsReader(member, fleet)) {
          member.state = membership::MemberState::kSuspected;
          break;
        }
      }
      CHECK(CountReaders(fleet) >= 14 * kReadersPerDataCentre);
    }
  }
  SECTION("a healthy reader makes at most a reading a second") {
    const int readings = CountReadings(false, false, random);
    CHECK(readings <= 3601);
    CHECK(readings >= 3100);
  }
  SECTION("a failing one, or one that knows of no other, far fewer") {
    CHECK(CountReadings(true, false, random) < 3600 / 10);
    CHECK(CountReadings(false, true, random) < 3600 / 10);
  }
}

}  // namespace
}  // namespace chestnutport::configuration
