// Tests requests with idempotency keys through separate processes.
#include <catch2/catch.hpp>
#include <string>

#include "support/fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using net::FindHeader;

constexpr char kLaudo[] =
    "[service]\nname = laudo\n[match]\npath_prefix = /laudo/\n";

net::HttpHeaders WithKey(const std::string& key, const std::string& age) {
  return {{"Idempotency-Key", key}, {"Chestnutport-Key-Age", age}};
}

std::string Error(const net::HttpAnswer& answer) {
  return std::string(FindHeader(answer.headers, "Chestnutport-Error"));
}

// Calls until the key's owner has settled.
net::HttpAnswer CallUntilSettled(const Fleet& fleet,
                                 const Vm& vm,
                                 const std::string& path,
                                 const net::HttpHeaders& headers) {
  net::HttpAnswer answer;
  WaitUntil([&] {
    answer = fleet.Call(vm, "POST", path, "other", headers);
    return Error(answer) != "key-record-unavailable";
  });
  return answer;
}

TEST_CASE("the same key sent through several nodes") {
  Fleet fleet;
  Vm& a = fleet.AddVm("a", "poa-a", "laudo");
  Vm& b = fleet.AddVm("b", "poa-b", "laudo");
  const uint64_t revision = fleet.Confirm(a, {{"laudo", kLaudo}});
  REQUIRE(fleet.WaitReady(a, 2, revision));
  REQUIRE(fleet.WaitReady(b, 2, revision));

  // Nothing runs until the owners have settled.
  int tries = 0;
  net::HttpAnswer first;
  std::string key;
  REQUIRE(WaitUntil([&] {
    key = "k" + std::to_string(++tries);
    first = fleet.Call(a, "POST", "/laudo/1", key, WithKey(key, "0ms"));
    return first.status == 200;
  }));
  CHECK(fleet.Executions().size() == 1);

  SECTION("is answered from the record, and runs once") {
    for (const Vm* vm : {&a, &b}) {
      const auto again =
          CallUntilSettled(fleet, *vm, "/laudo/1", WithKey(key, "9s"));
      CHECK(again.status == 200);
      CHECK(again.body == first.body);
    }
    CHECK(fleet.Executions() == std::map<std::string, int>{{key, 1}});
  }
  SECTION("is refused for another request") {
    const auto other =
        CallUntilSettled(fleet, b, "/laudo/2", WithKey(key, "9s"));
    CHECK(Error(other) == "key-mismatch");
  }
  SECTION("without its age is uncertain to a recently started owner") {
    const auto old =
        CallUntilSettled(fleet, b, "/laudo/1", {{"Idempotency-Key", "other"}});
    CHECK(Error(old) == "key-uncertain");
    CHECK(FindHeader(old.headers, "Chestnutport-Outcome") == "unknown");
    CHECK_FALSE(FindHeader(old.headers, "Retry-After").empty());
  }
}

}  // namespace
}  // namespace chestnutport::test
