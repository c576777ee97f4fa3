// Which nodes read the store, and how often.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "configuration/read_pace.h"
#include "configuration/reader_choice.h"
#include "configuration/reader_role.h"

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

// How long it takes at most until one of a fleet's readers reads again, if all
// lose their watches just after these began.
base::Duration FoundOutAfter(const std::vector<Member>& members,
                             const ReadPace& pace,
                             base::Random& random) {
  base::Duration first = std::chrono::hours(1);
  for (const Member& member : members) {
    ReaderRole role;
    (void)role.SetMembers(member, members);
    if (!role.is_reader() || member.state != membership::MemberState::kAlive)
      continue;
    const WatchTimes times = pace.Watch(role.is_alert(), random);
    const base::Duration ends =
        times.wait + times.patience + ReadPace::Again(random);
    first = std::min(first, ends);
  }
  return first;
}

TEST_CASE("watches that all readers lose at once are found out in time") {
  constexpr int kPlays = 100;
  // Of the two seconds in which a change has to be in force; the rest is for
  // the reading, and to tell the others.
  constexpr std::chrono::milliseconds kForConfigurations(1500);
  // Of five seconds.
  constexpr std::chrono::milliseconds kForEvacuations(3000);
  base::Random random(1);
  for (const size_t nodes : {1, 2, 3, 11, 28, 300}) {
    for (const size_t data_centres : {1, 2, 4}) {
      for (int play = 0; play < kPlays; ++play) {
        auto fleet = MakeFleet(nodes, data_centres, random);
        CHECK(FoundOutAfter(fleet, ReadPace(), random) <= kForConfigurations);
        const ReadPace pace(kLongestReadInterval, kAlertEvacuationWatch);
        CHECK(FoundOutAfter(fleet, pace, random) <= kForEvacuations);
        if (nodes < 3)
          continue;
        // Also beside the loss of a node, whichever it is.
        fleet[play % nodes].state = membership::MemberState::kSuspected;
        CHECK(FoundOutAfter(fleet, ReadPace(), random) <= kForConfigurations);
      }
    }
  }
}

TEST_CASE("two readers are alert, of different data centres") {
  base::Random random(2);
  for (const size_t data_centres : {1, 2, 3, 14}) {
    auto fleet = MakeFleet(30, data_centres, random);
    std::set<std::string> alert;
    for (const Member& member : fleet) {
      if (!IsAlertReader(member, fleet))
        continue;
      CHECK(IsReader(member, fleet));
      CHECK(alert.insert(member.data_centre).second);
    }
    CHECK(alert.size() == std::min(data_centres, kAlertReaders));
  }
  SECTION("and who becomes one is told so, once") {
    auto fleet = MakeFleet(5, 1, random);
    const auto first = std::ranges::find_if(fleet, [&](const Member& member) {
      return IsAlertReader(member, fleet);
    });
    REQUIRE(first != fleet.end());
    std::vector<ReaderRole> roles(fleet.size());
    const auto count_new = [&] {
      int count = 0;
      for (size_t i = 0; i < fleet.size(); ++i)
        count += roles[i].SetMembers(fleet[i], fleet) ? 1 : 0;
      return count;
    };
    CHECK(count_new() == 0);  // Each took itself for one at its start.
    first->state = membership::MemberState::kSuspected;
    CHECK(count_new() == 1);
    CHECK(count_new() == 0);
  }
}

TEST_CASE("a fleet has sixteen readers at least, if it has so many nodes") {
  base::Random random(3);
  for (const size_t nodes : {1, 11, 12, 16, 40, 300}) {
    for (const size_t data_centres : {1, 2, 3, 4, 8}) {
      const auto fleet = MakeFleet(nodes, data_centres, random);
      CHECK(CountReaders(fleet) >= std::min(nodes, kReadersPerFleet));
      CHECK(CountReaders(fleet) < kReadersPerFleet + data_centres);
    }
  }
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
