// Repair of a store that was restored from an older backup.
#include "configuration/repair.h"

#include <catch2/catch.hpp>

#include "configuration/documents.h"

namespace chestnutport::configuration {
namespace {

Head Confirm(const Head& base, const std::string& plan, const std::string& at) {
  return NextHead(base, {{"a", DocumentHash(plan)}},
                  {.plan_id = plan, .confirmed_at = at});
}

TEST_CASE("a store restored from an older backup") {
  const Head one = Confirm({}, "one", "t1");
  const Head two = Confirm(one, "two", "t2");
  const Head three = Confirm(two, "three", "t3");

  SECTION(
      "is not changed if it is up to date, or if the node has no "
      "configuration") {
    CHECK_FALSE(RepairStore(three, three));
    CHECK_FALSE(RepairStore(three, two));
    CHECK_FALSE(RepairStore({}, {}));
  }
  SECTION("gets the newer head, even if it is empty") {
    CHECK(RepairStore(one, three)->revision == 3);
    CHECK(RepairStore({}, three)->manifest == three.manifest);
    CHECK(RepairStore({}, three)->history == three.history);
  }
  SECTION("keeps confirmations made after the restore in the history") {
    const Head other = Confirm(one, "other", "t4");
    const auto repaired = RepairStore(other, three);
    REQUIRE(repaired);
    CHECK(repaired->revision == 3);
    CHECK(repaired->manifest == three.manifest);
    CHECK_FALSE(repaired->FindPlan("other"));
    CHECK(repaired->history.size() == 4);
    CHECK(repaired->LastConfirmation()->plan_id == "three");
  }
  SECTION(
      "gets the later one of two heads of the same revision, as the next "
      "revision") {
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
