// A store that was brought back from an older copy.
#include "configuration/repair.h"

#include <catch2/catch.hpp>

#include "configuration/documents.h"

namespace chestnutport::configuration {
namespace {

Head Confirm(const Head& base, const std::string& plan, const std::string& at) {
  return NextHead(base, {{"a", DocumentHash(plan)}},
                  {.plan_id = plan, .confirmed_at = at});
}

TEST_CASE("a store brought back from an older copy") {
  const Head one = Confirm({}, "one", "t1");
  const Head two = Confirm(one, "two", "t2");
  const Head three = Confirm(two, "three", "t3");

  SECTION("is left alone if it is as new, or if the node has nothing") {
    CHECK_FALSE(RepairStore(three, three));
    CHECK_FALSE(RepairStore(three, two));
    CHECK_FALSE(RepairStore({}, {}));
  }
  SECTION("gets the newer head back, also if it is empty") {
    CHECK(RepairStore(one, three)->revision == 3);
    CHECK(RepairStore({}, three)->manifest == three.manifest);
    CHECK(RepairStore({}, three)->history == three.history);
  }
  SECTION("keeps in the history what was confirmed on the copy") {
    const Head other = Confirm(one, "other", "t4");
    const auto repaired = RepairStore(other, three);
    REQUIRE(repaired);
    CHECK(repaired->revision == 3);
    CHECK(repaired->manifest == three.manifest);
    CHECK_FALSE(repaired->FindPlan("other"));
    CHECK(repaired->history.size() == 4);
    CHECK(repaired->LastConfirmation()->plan_id == "three");
  }
  SECTION("of two heads of one revision the later stands, as the next") {
    const Head other = Confirm(two, "other", "t4");
    for (const auto& [stored, local] :
         {std::pair(other, three), std::pair(three, other)}) {
      const auto repaired = RepairStore(stored, local);
      REQUIRE(repaired);
      CHECK(repaired->revision == 4);
      CHECK(repaired->manifest == other.manifest);
      CHECK(repaired->FindPlan("other"));
      CHECK_FALSE(repaired->FindPlan("three"));
      CHECK_FALSE(RepairStore(*repaired, three));
    }
  }
}

}  // namespace
}  // namespace chestnutport::configuration
