// Which listings a node asks the store for while it looks for the fleet.
#include "duties/seed_search.h"

#include <catch2/catch.hpp>

namespace chestnutport::duties {
namespace {

using base::Duration;
using Listing = SeedSearch::Listing;

constexpr std::chrono::milliseconds kLongestWait(5000);

TEST_CASE("a node starts where the store does not count old listings") {
  base::Random random(1);
  SeedSearch search(false, kLongestWait);

  SECTION("beside a running fleet one old listing is all, and at once") {
    CHECK(search.FirstWait(random) == Duration::zero());
    CHECK(search.Next(true) == Listing::kMayBeStale);
    CHECK(search.Next(false) == Listing::kMayBeStale);
  }
  SECTION("where it names nobody, or nobody who answers, one of now follows") {
    CHECK(search.Next(true) == Listing::kMayBeStale);
    CHECK(search.WaitAfterNobody(random) <= kLongestWait / 5);
    CHECK(search.Next(true) == Listing::kLatest);
    CHECK(search.Next(true) == Listing::kLatest);

    SECTION("and an old one again once others are known") {
      CHECK(search.Next(false) == Listing::kMayBeStale);
    }
  }
}

TEST_CASE("a store that counts all listings is asked for those of now") {
  base::Random random(1);
  SeedSearch search(true, kLongestWait);
  CHECK(search.Next(true) == Listing::kLatest);

  SECTION("by nodes that start together, not at once") {
    int late = 0;
    for (int i = 0; i < 100; ++i)
      late += search.FirstWait(random) > kLongestWait / 10 ? 1 : 0;
    CHECK(late > 30);
    CHECK(late < 70);
  }
}

TEST_CASE("a node that stays alone asks less and less often") {
  base::Random random(1);
  SeedSearch search(false, kLongestWait);
  Duration first_minute{};
  int listings = 0;
  for (; first_minute < std::chrono::minutes(1); ++listings)
    first_minute += search.Wait(true, random);
  CHECK(listings < 20);

  SECTION("and begins anew when it has known others meanwhile") {
    search.Wait(false, random);
    CHECK(search.Wait(true, random) <= std::chrono::milliseconds(1500));
  }
}

TEST_CASE("those that do not listen yet are greeted again, soon at first") {
  SeedSearch search(false, kLongestWait);
  Duration at{};
  int greetings = 0;
  for (; at < std::chrono::milliseconds(300); ++greetings)
    at += search.NextGreeting();
  CHECK(greetings == 4);  // After 0, 40, 120 and 280 ms.

  SECTION("and the intervals begin anew with somebody else to greet") {
    const Duration before = search.NextGreeting();
    search.RestartGreeting();
    CHECK(search.NextGreeting() < before);
  }
}

}  // namespace
}  // namespace chestnutport::duties
