// Which nodes read the store, and how often.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "configuration/read_timing.h"
#include "configuration/reader_role.h"
#include "configuration/reader_selection.h"

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
    readers += ReaderSelection(members).IsReader(member);
  return readers;
}

// Readings of one reader in an hour of virtual time.
int CountReadings(bool failing, bool alone, base::Random& random) {
  ReadTiming pace;
  base::Duration at = ReadTiming().FirstReadDelay(random);
  int readings = 0;
  for (; at < std::chrono::hours(1); ++readings)
    at += pace.NextReadDelay(failing, alone, 1, random);
  return readings;
}

TEST_CASE(
    "of nodes that start together a few read at once, the others hear it") {
  base::Random random(1);
  const ReadTiming pace;
  int early = 0;
  for (int node = 0; node < 300; ++node) {
    const base::Duration wait = pace.FirstReadDelay(random);
    CHECK(wait <= kFirstReadJitter);
    early += wait < kFirstReadJitter / 4 ? 1 : 0;
  }
  CHECK(early >= 1);
  CHECK(early <= 15);
}

// How long it takes at most until one of a fleet's readers reads again, if all
// lose their watches just after these began.
base::Duration FoundOutAfter(const std::vector<Member>& members,
                             const ReadTiming& pace,
                             base::Random& random) {
  base::Duration first = std::chrono::hours(1);
  for (const Member& member : members) {
    ReaderRole role;
    (void)role.SetMembers(member, members);
    if (!role.is_reader() || member.state != membership::MemberState::kAlive)
      continue;
    const WatchDurations times =
        pace.DrawWatch(role.has_short_watches(), random);
    const base::Duration ends =
        times.wait + times.grace + ReadTiming::RereadDelay(random);
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
        CHECK(FoundOutAfter(fleet, ReadTiming(), random) <= kForConfigurations);
        const ReadTiming pace(kMaxReadInterval, kMaxShortEvacuationWatch);
        CHECK(FoundOutAfter(fleet, pace, random) <= kForEvacuations);
        if (nodes < 3)
          continue;
        // Also beside the loss of a node, whichever it is.
        fleet[play % nodes].state = membership::MemberState::kSuspected;
        CHECK(FoundOutAfter(fleet, ReadTiming(), random) <= kForConfigurations);
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
      if (!ReaderSelection(fleet).IsShortWatchReader(member))
        continue;
      CHECK(ReaderSelection(fleet).IsReader(member));
      CHECK(alert.insert(member.data_centre).second);
    }
    CHECK(alert.size() == std::min(data_centres, kShortWatchReaders));
  }
  SECTION("and who becomes one is told so, once") {
    auto fleet = MakeFleet(5, 1, random);
    const auto first = std::ranges::find_if(fleet, [&](const Member& member) {
      return ReaderSelection(fleet).IsShortWatchReader(member);
    });
    REQUIRE(first != fleet.end());
    std::vector<ReaderRole> roles(fleet.size());
    const auto count_new = [&] {
      int count = 0;
      for (size_t i = 0; i < fleet.size(); ++i)
        count += roles[i].SetMembers(fleet[i], fleet) == ReadTrigger::kNewRole;
      return count;
    };
    CHECK(count_new() == 0);  // Each took itself for one at its start.
    first->state = membership::MemberState::kSuspected;
    CHECK(count_new() == 1);
    CHECK(count_new() == 0);
  }
}

TEST_CASE(
    "each node of a small fleet reads, two a data centre of a larger one") {
  base::Random random(3);
  for (const size_t data_centres : {1, 2, 3, 4, 8}) {
    for (const size_t nodes :
         {size_t{1}, size_t{11}, size_t{12}, kSmallFleetSize})
      CHECK(CountReaders(MakeFleet(nodes, data_centres, random)) == nodes);
    for (const size_t nodes : {kSmallFleetSize + 1, size_t{40}, size_t{300}}) {
      CHECK(CountReaders(MakeFleet(nodes, data_centres, random)) ==
            data_centres * kReadersPerDataCentre);
    }
  }
}

// All that read the store now have lost it.
void LoseStoreOfReaders(std::vector<Member>& members) {
  const std::vector<Member> before = members;
  for (Member& member : members)
    member.has_lost_store |= ReaderSelection(before).IsReader(member);
}

TEST_CASE("readers that have lost the store hand the duty on") {
  base::Random random(4);
  for (const size_t nodes : {40, 64, 300}) {
    for (const size_t data_centres : {1, 3, 14}) {
      INFO(nodes << " nodes, " << data_centres << " data centres");
      auto fleet = MakeFleet(nodes, data_centres, random);
      const size_t readers = CountReaders(fleet);
      LoseStoreOfReaders(fleet);

      const size_t trying = CountReaders(fleet);
      CHECK(trying > readers);
      const bool some_are_alert =
          std::ranges::any_of(fleet, [&](const Member& member) {
            return !member.has_lost_store &&
                   ReaderSelection(fleet).IsReader(member) &&
                   ReaderSelection(fleet).IsShortWatchReader(member);
          });
      CHECK(some_are_alert);

      // Also if these lose it in their turn, until no more may try.
      for (size_t round = 0; round < nodes; ++round)
        LoseStoreOfReaders(fleet);
      CHECK(CountReaders(fleet) >= std::min(nodes, kMaxReaderCandidates));
      CHECK(CountReaders(fleet) <=
            std::max(kMaxReaderCandidates, readers) + data_centres);

      // And take it back.
      for (Member& member : fleet)
        member.has_lost_store = false;
      CHECK(CountReaders(fleet) == readers);
    }
  }
}

TEST_CASE("a reader is told when to read at once") {
  base::Random random(5);
  auto fleet = MakeFleet(40, 2, random);
  const auto role_of = [&](const Member& member) {
    ReaderRole role;
    (void)role.SetMembers(member, fleet);
    return role;
  };
  const auto reader = std::ranges::find_if(fleet, [&](const Member& member) {
    return ReaderSelection(fleet).IsReader(member);
  });
  const auto other = std::ranges::find_if(fleet, [&](const Member& member) {
    return !ReaderSelection(fleet).IsReaderCandidate(member);
  });
  ReaderRole of_reader = role_of(*reader);
  ReaderRole of_other = role_of(*other);

  const auto find_other = [&](bool has_short_watches) {
    return std::ranges::find_if(
        fleet, [&, has_short_watches](const Member& member) {
          return member.id != reader->id &&
                 ReaderSelection(fleet).IsReader(member) &&
                 ReaderSelection(fleet).IsShortWatchReader(member) ==
                     has_short_watches;
        });
  };

  SECTION("as an alert one has lost the store, once") {
    const auto lost = find_other(true);
    lost->has_lost_store = true;
    CHECK(of_reader.SetMembers(*reader, fleet) ==
          ReadTrigger::kShortWatchReaderLostStore);
    CHECK(of_reader.members_without_store() == 1);
    CHECK(of_reader.SetMembers(*reader, fleet) == ReadTrigger::kNone);
    lost->has_lost_store = false;
    CHECK(of_reader.SetMembers(*reader, fleet) == ReadTrigger::kNone);
  }
  SECTION("but not as another has, while the alert ones hear of each change") {
    const auto lost = find_other(false);
    lost->has_lost_store = true;
    CHECK(of_reader.SetMembers(*reader, fleet) == ReadTrigger::kNone);
    CHECK(of_reader.members_without_store() == 1);
  }
  SECTION("but not in a small fleet, where nobody could take its place") {
    auto small = MakeFleet(kSmallFleetSize, 2, random);
    ReaderRole role;
    (void)role.SetMembers(small[0], small);
    for (size_t i = 1; i < small.size(); ++i)
      small[i].has_lost_store = true;
    CHECK(role.SetMembers(small[0], small) !=
          ReadTrigger::kShortWatchReaderLostStore);
  }
  SECTION("as it has become one in place of those that lost it") {
    LoseStoreOfReaders(fleet);
    const auto next = std::ranges::find_if(fleet, [&](const Member& member) {
      return !member.has_lost_store && ReaderSelection(fleet).IsReader(member);
    });
    ReaderRole of_next;
    auto before = fleet;
    for (Member& member : before)
      member.has_lost_store = false;
    (void)of_next.SetMembers(*next, before);
    REQUIRE_FALSE(of_next.is_reader());
    CHECK(of_next.SetMembers(*next, fleet) == ReadTrigger::kNewRole);
    CHECK(of_next.is_reader());
  }
  SECTION("as it may stand in for an alert one that has lost the store") {
    const auto stand_in =
        std::ranges::find_if(fleet, [&](const Member& member) {
          return !ReaderSelection(fleet).IsReader(member) &&
                 ReaderSelection(fleet).IsReaderCandidate(member);
        });
    ReaderRole of_stand_in = role_of(*stand_in);
    const auto lost = find_other(true);
    lost->has_lost_store = true;
    if (!ReaderSelection(fleet).IsReader(*stand_in)) {
      CHECK(of_stand_in.SetMembers(*stand_in, fleet) ==
            ReadTrigger::kShortWatchReaderLostStore);
      CHECK_FALSE(of_stand_in.is_reader());
    }
  }
  SECTION("but not who may not stand in") {
    REQUIRE_FALSE(of_other.is_reader());
    find_other(true)->has_lost_store = true;
    CHECK(of_other.SetMembers(*other, fleet) == ReadTrigger::kNone);
  }
}

TEST_CASE("nodes that have all lost the store ask it seldom together") {
  base::Random random(6);
  for (const size_t failing : {1, 40, 400}) {
    ReadTiming pace(std::chrono::seconds(1));
    base::Duration waited{};
    constexpr int kTries = 1000;
    for (int i = 0; i < kTries; ++i)
      waited += pace.NextReadDelay(true, false, failing, random);
    const double tries_a_second = static_cast<double>(failing) * kTries /
                                  std::chrono::duration<double>(waited).count();
    CHECK(tries_a_second < 15);
  }
}

TEST_CASE("the fleet's readings do not grow with the fleet") {
  base::Random random(1);
  for (const size_t nodes : {28, 100, 3000}) {
    auto fleet = MakeFleet(nodes, 14, random);
    CHECK(CountReaders(fleet) == 14 * kReadersPerDataCentre);
    SECTION("a reader that dies has a successor") {
      for (Member& member : fleet) {
        if (ReaderSelection(fleet).IsReader(member)) {
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
