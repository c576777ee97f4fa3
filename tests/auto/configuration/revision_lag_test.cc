// For how long a node knows of a newer revision than it has in force.
#include "configuration/revision_lag.h"

#include <catch2/catch.hpp>

namespace chestnutport::configuration {
namespace {

using std::chrono::seconds;

TEST_CASE("a node knows for how long it has been behind") {
  const base::Instant start = base::Instant() + seconds(100);
  RevisionLag lag;
  CHECK(lag.Behind(start) == base::Duration::zero());

  SECTION("not while it holds what it hears of") {
    lag.OnInForce(3, start);
    lag.OnRevisionReported(2, start);
    lag.OnRevisionReported(3, start);
    CHECK(lag.Behind(start + seconds(5)) == base::Duration::zero());
  }
  SECTION("from the first newer revision, however many follow") {
    lag.OnInForce(3, start);
    lag.OnRevisionReported(4, start + seconds(1));
    lag.OnRevisionReported(5, start + seconds(2));
    CHECK(lag.Behind(start + seconds(4)) == seconds(3));

    SECTION("until it holds the newest") {
      CHECK(lag.OnInForce(5, start + seconds(4)) == seconds(3));
      CHECK(lag.Behind(start + seconds(5)) == base::Duration::zero());
    }
    SECTION("and from the newest on if it takes one between") {
      CHECK(lag.OnInForce(4, start + seconds(4)) == seconds(3));
      CHECK(lag.Behind(start + seconds(5)) == seconds(3));
    }
  }
}

}  // namespace
}  // namespace chestnutport::configuration
