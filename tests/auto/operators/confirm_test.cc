// Guards against lost or duplicate confirmations when operators race, or when
// the store is down, loses responses or is restored from a backup.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "support/fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using nlohmann::json;
using DeclarationTexts = std::map<std::string, std::string>;

DeclarationTexts DeclareSlots(int slots) {
  return {{"dossie",
           "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n"
           "[servers]\nslots = " +
               std::to_string(slots) + "\n"}};
}

class Operators {
 public:
  // Makes a plan on the node of `vm` and returns the body of its confirmation.
  std::string Plan(const Vm& vm, const DeclarationTexts& texts) const {
    const json wanted = {{"services", texts}};
    const auto answer = fleet.Operate(vm, "POST", "/v1/plan", wanted.dump());
    json plan = json::parse(answer.body);
    plan["services"] = texts;
    return plan.dump();
  }

  std::pair<int, json> Confirm(const Vm& vm, const std::string& plan) const {
    const auto answer = fleet.Operate(vm, "POST", "/v1/confirm", plan);
    return {answer.status, json::parse(answer.body)};
  }

  uint64_t Revision(const Vm& vm) const {
    const auto answer = fleet.Operate(vm, "GET", "/v1/status", "");
    const json status = json::parse(answer.body, nullptr, false);
    return status.is_object() ? status.value("revision", uint64_t{0}) : 0;
  }

  bool WaitForRevision(const Vm& vm, uint64_t revision) const {
    return WaitUntil([&] { return Revision(vm) >= revision; });
  }

  // Waits until the node of `vm` knows `members` members.
  bool WaitForMembers(const Vm& vm, size_t members) const {
    return WaitUntil([&] {
      const auto answer = fleet.Operate(vm, "GET", "/v1/status", "");
      return json::parse(answer.body)["members"].size() == members;
    });
  }

  Fleet fleet;
};

TEST_CASE("two operators") {
  Operators operators;
  Vm& a = operators.fleet.AddVm("a", "poa-a", "");
  Vm& b = operators.fleet.AddVm("b", "poa-b", "");
  REQUIRE(operators.WaitForMembers(a, 2));
  REQUIRE(operators.WaitForMembers(b, 2));
  REQUIRE(operators.fleet.Confirm(a, DeclareSlots(10)) == 1);
  REQUIRE(operators.WaitForRevision(b, 1));

  SECTION("race: one succeeds, the other gets the changes, by whom and when") {
    const std::string first = operators.Plan(a, DeclareSlots(11));
    const std::string second = operators.Plan(b, DeclareSlots(12));
    CHECK(operators.Confirm(a, first).first == 200);
    const auto [status, answer] = operators.Confirm(b, second);
    CHECK(status == 409);
    CHECK(answer["error"] == "stale-plan");
    REQUIRE(answer["changed_since"].size() == 1);
    CHECK(answer["changed_since"][0]["by"] == "alice");
    CHECK(answer["changed_since"][0]["revision"] == 2);
    CHECK_FALSE(answer["changed_since"][0]["at"].get<std::string>().empty());
    REQUIRE(operators.WaitForRevision(b, 2));
    CHECK(operators.Confirm(b, second).second["changed_since"][0]["after"] ==
          "11");

    SECTION("confirming again is idempotent, also after later confirmations") {
      REQUIRE(operators.fleet.Confirm(b, DeclareSlots(13)) == 3);
      const auto again = operators.Confirm(b, first);
      CHECK(again.first == 200);
      CHECK(again.second["again"] == true);
      CHECK(again.second["revision"] == 2);
      CHECK(operators.Revision(b) == 3);
    }
  }

  SECTION("the store loses responses: the outcome is found by reading") {
    operators.fleet.CommandStore(R"({"mode": "lose-answers"})");
    const auto [status, answer] =
        operators.Confirm(a, operators.Plan(a, DeclareSlots(11)));
    // The responses to document writes are lost too; each outcome is found by
    // writing again.
    CHECK(status == 200);
    CHECK(answer["revision"] == 2);
    CHECK(operators.WaitForRevision(b, 2));
  }

  SECTION("the store is down: the plan is not confirmed, with a retry delay") {
    const std::string plan = operators.Plan(a, DeclareSlots(11));
    operators.fleet.CommandStore(R"({"mode": "down"})");
    const auto [status, answer] = operators.Confirm(a, plan);
    CHECK(status == 503);
    CHECK(answer["outcome"] == "not-run");
    CHECK(answer["retry_after_seconds"] > 0);
    operators.fleet.CommandStore(R"({"mode": "up"})");
    CHECK(operators.Revision(a) == 1);
    CHECK(operators.Confirm(a, plan).first == 200);
  }

  SECTION("a store restored from an older copy gets the newer revision") {
    operators.fleet.CommandStore(R"({"copy": "save"})");
    REQUIRE(operators.fleet.Confirm(a, DeclareSlots(11)) == 2);
    REQUIRE(operators.WaitForRevision(b, 2));
    operators.fleet.CommandStore(R"({"copy": "restore"})");
    REQUIRE(operators.fleet.Confirm(b, DeclareSlots(12)) == 3);
    Vm& c = operators.fleet.AddVm("c", "poa-a", "");
    CHECK(operators.WaitForRevision(c, 3));
    const auto history = operators.fleet.Operate(c, "GET", "/v1/history", "");
    CHECK(json::parse(history.body)["confirmations"].size() == 3);
  }
}

}  // namespace
}  // namespace chestnutport::test
