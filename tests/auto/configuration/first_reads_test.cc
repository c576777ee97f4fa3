// Which reads of a starting node may be stale.
#include "configuration/first_reads.h"

#include <catch2/catch.hpp>

namespace chestnutport::configuration {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a node starts") {
  base::Random random(1);
  base::Instant now(std::chrono::hours(1));
  FirstReads reads(true);
  reads.OnMembers(true, now);
  CHECK(reads.NextMayBeStale(now, random));

  SECTION("alone, it reads the current state after some stale responses") {
    for (int i = 0; i < duties::CurrentReadDraw::kStaleReads; ++i)
      reads.OnStaleResponse();
    CHECK_FALSE(reads.NextMayBeStale(now, random));
  }
  SECTION("when it knows a member, it does not know yet who reads") {
    reads.OnMembers(false, now);
    CHECK(reads.IsSettling(now));
    CHECK(reads.NextMayBeStale(now, random));
    now += FirstReads::kSettlingTime - milliseconds(1);
    reads.OnMembers(false, now);
    CHECK(reads.IsSettling(now));

    SECTION("and reads the current state from then on") {
      now += milliseconds(1);
      CHECK_FALSE(reads.IsSettling(now));
      CHECK_FALSE(reads.NextMayBeStale(now, random));
      SECTION("even if all others are lost") {
        reads.OnMembers(true, now);
        CHECK_FALSE(reads.NextMayBeStale(now, random));
      }
    }
  }
}

TEST_CASE("a node that needs proofs makes current reads only") {
  base::Random random(1);
  const base::Instant now(std::chrono::hours(1));
  FirstReads reads(false);
  reads.OnMembers(true, now);
  CHECK_FALSE(reads.NextMayBeStale(now, random));
  reads.OnMembers(false, now);
  CHECK_FALSE(reads.IsSettling(now));
  CHECK_FALSE(reads.NextMayBeStale(now, random));
}

}  // namespace
}  // namespace chestnutport::configuration
