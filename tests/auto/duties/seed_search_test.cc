// Listings and pings of a node that looks for the fleet.
#include "duties/seed_search.h"

#include <catch2/catch.hpp>

namespace chestnutport::duties {
namespace {

using base::Duration;
using Listing = SeedSearch::Listing;

constexpr std::chrono::milliseconds kLongestWait(5000);

TEST_CASE("a node starts with a store that does not count stale listings") {
  base::Random random(1);
  SeedSearch search(false, kLongestWait);

  SECTION("beside a running fleet it makes one stale listing at once") {
    CHECK(search.FirstDelay(random) == Duration::zero());
    CHECK(search.NextListing(true, random) == Listing::kMayBeStale);
    CHECK(search.NextListing(false, random) == Listing::kMayBeStale);
  }
  SECTION("without reachable seeds it lists again soon") {
    CHECK(search.NextListing(true, random) == Listing::kMayBeStale);
    CHECK(search.DelayAfterEmptyListing(random) <=
          std::chrono::milliseconds(1500));

    SECTION("and makes current listings after some stale ones") {
      (void)search.NextListing(true, random);
      for (int i = 0; i < CurrentReadDraw::kStaleReads; ++i)
        search.OnStaleListing();
      CHECK(search.NextListing(true, random) == Listing::kLatest);
      CHECK(search.NextListing(true, random) == Listing::kLatest);

      SECTION("but not once other members are known") {
        CHECK(search.NextListing(false, random) == Listing::kMayBeStale);
      }
    }
  }
}

TEST_CASE("of nodes that start together few make a current listing") {
  constexpr int kNodes = 3000;
  base::Random random(1);
  int current = 0;
  int early = 0;
  for (int node = 0; node < kNodes; ++node) {
    SeedSearch search(false, kLongestWait);
    (void)search.NextListing(true, random);
    search.OnStaleListing();
    const Duration delay = search.DelayAfterEmptyListing(random);
    if (search.NextListing(true, random) != Listing::kLatest)
      continue;
    ++current;
    early += delay <= kLongestWait / 5 ? 1 : 0;
  }
  CHECK(early > 0);
  CHECK(current < 200);
}

TEST_CASE("a store that counts all listings gets requests for current ones") {
  base::Random random(1);
  SeedSearch search(true, kLongestWait);
  CHECK(search.NextListing(true, random) == Listing::kLatest);

  SECTION("spread over time by nodes that start together") {
    int late = 0;
    for (int i = 0; i < 100; ++i)
      late += search.FirstDelay(random) > kLongestWait / 10 ? 1 : 0;
    CHECK(late > 30);
    CHECK(late < 70);
  }
}

TEST_CASE("a node that stays alone backs off") {
  base::Random random(1);
  SeedSearch search(false, kLongestWait);
  for (int i = 0; i < CurrentReadDraw::kStaleReads; ++i)
    search.OnStaleListing();
  Duration first_minute{};
  int listings = 0;
  for (; first_minute < std::chrono::minutes(1); ++listings)
    first_minute += search.NextDelay(true, random);
  CHECK(listings < 20);

  SECTION("and restarts its backoff after it has known other members") {
    search.NextDelay(false, random);
    CHECK(search.NextDelay(true, random) <= std::chrono::milliseconds(1500));
  }
}

TEST_CASE("unreachable contacts are pinged again with growing intervals") {
  SeedSearch search(false, kLongestWait);
  Duration at{};
  int pings = 0;
  for (; at < std::chrono::milliseconds(300); ++pings)
    at += search.NextPingInterval();
  CHECK(pings == 4);  // After 0, 40, 120 and 280 ms.

  SECTION("and the intervals restart with new contacts") {
    const Duration before = search.NextPingInterval();
    search.ResetPingInterval();
    CHECK(search.NextPingInterval() < before);
  }
}

}  // namespace
}  // namespace chestnutport::duties
