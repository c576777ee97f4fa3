// What an operator sees of a running node: its metrics and its log.
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "support/fleet.h"
#include "support/http_caller.h"
#include "support/process.h"

namespace chestnutport::test {
namespace {

constexpr char kDossie[] =
    "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n"
    "[requests]\nrepeatable = GET /dossie/\n"
    "[tenants]\nalfa = 1\n[classes]\nurgent = 1\n";

const net::HttpHeaders kKnownCaller = {{"Chestnutport-Tenant", "alfa"},
                                       {"Chestnutport-Class", "urgent"}};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("an operator looks at a running node") {
  Fleet fleet;
  Vm& vm = fleet.AddVm("a", "poa-a", "dossie");
  REQUIRE(fleet.Confirm(vm, {{"dossie", kDossie}}) == 1);
  REQUIRE(fleet.WaitReady(vm, 1, 1));

  SECTION("its metrics count what callers were told") {
    const std::string known =
        R"({service="dossie",tenant="alfa",class="urgent")";
    for (int i = 0; i < 5; ++i) {
      const std::string id = std::to_string(i);
      fleet.Call(vm, "GET", "/dossie/1?ms=20", "known" + id, kKnownCaller);
      fleet.Call(vm, "GET", "/nowhere", "stray" + id);
    }
    const auto answer = fleet.Operate(vm, "GET", "/v1/metrics", "");
    REQUIRE(answer.status == 200);
    CHECK(net::FindHeader(answer.headers, "Content-Type") ==
          "text/plain; version=0.0.4");
    const std::string& text = answer.body;
    CHECK(Contains(text, "chestnutport_calls_total" + known +
                             ",outcome=\"answered\"} 5\n"));
    CHECK(Contains(
        text, "chestnutport_attempt_server_seconds_count" + known + "} 5\n"));
    CHECK(Contains(text, "error=\"unknown-service\"} 5\n"));
    CHECK(Contains(text, "chestnutport_members{state=\"alive\"} 1\n"));
    CHECK(Contains(text, "chestnutport_configuration_revision 1\n"));
    CHECK(Contains(text, "chestnutport_in_flight{role=\"gate\"} 0\n"));

    SECTION("the command draws them") {
      setenv("CHESTNUTPORT_TOKEN", kOperatorToken, 1);
      Process command("chestnutport",
                      {"--node=" + vm.operator_address.ToString(),
                       "--service=dossie", "--tenant=alfa", "metrics"});
      CHECK(command.WaitForExit(std::chrono::seconds(30)) == 0);
      const std::string& drawn = command.Output();
      CHECK(Contains(drawn,
                     "chestnutport_call_seconds  service=dossie "
                     "tenant=alfa class=urgent\n  count 5  p50 "));
      CHECK(Contains(drawn, "##"));
      CHECK_FALSE(Contains(drawn, "tenant=none"));
    }

    SECTION("the time that the server took is not counted as added") {
      const auto json = nlohmann::json::parse(
          fleet
              .Operate(vm, "GET",
                       "/v1/metrics?format=json&service=dossie&tenant=alfa", "")
              .body);
      double total = 0;
      double added = 0;
      double server = 0;
      for (const auto& row : json["histograms"]) {
        CHECK(row["tenant"] == "alfa");
        if (row["metric"] == "chestnutport_call_seconds")
          total = row["sum_seconds"];
        if (row["metric"] == "chestnutport_call_added_seconds")
          added = row["sum_seconds"];
        if (row["metric"] == "chestnutport_attempt_server_seconds")
          server = row["sum_seconds"];
      }
      CHECK(server >= 5 * 0.02);
      CHECK(added > 0);
      CHECK(total - added == Approx(server).margin(5e-5));
    }
  }

  SECTION("the answer to a caller does not hold what nodes tell each other") {
    const auto answer = fleet.Call(vm, "GET", "/dossie/1", "x");
    REQUIRE(answer.status == 200);
    CHECK(net::FindHeader(answer.headers, "Chestnutport-Load").empty());
    CHECK(net::FindHeader(answer.headers, "Chestnutport-Server-Time").empty());
  }

  SECTION("who holds no token sees nothing") {
    const auto answer = SendAndWait(vm.operator_address,
                                    {.method = "GET", .target = "/v1/metrics"})
                            .answer;
    CHECK(answer.status == 401);
    CHECK_FALSE(Contains(answer.body, "chestnutport_calls"));
  }

  SECTION("its log holds no secret and no body") {
    const std::string secret = "s3cret-";
    const net::HttpHeaders headers = {
        {"Authorization", "Bearer " + secret + "authorization"},
        {"Cookie", "session=" + secret + "cookie"},
        {"Idempotency-Key", secret + "key"},
        {"Chestnutport-Tenant", secret + "tenant"},
        {"Chestnutport-Deadline", secret + "deadline"}};
    const std::string path = "?token=" + secret + "query";
    for (const std::string target : {"/dossie/1", "/nowhere"}) {
      for (const auto& to :
           {vm.caller_address, vm.operator_address, vm.announcement_address}) {
        SendAndWait(to, {.method = "POST",
                         .target = target + path,
                         .headers = headers,
                         .body = secret + "body"});
      }
    }
    vm.node->Signal(SIGTERM);
    REQUIRE(vm.node->WaitForExit(std::chrono::seconds(30)) == 0);
    const std::string& log = vm.node->Output();
    CHECK(Contains(log, "event=2001"));
    CHECK(Contains(log, "event=2002"));
    CHECK(Contains(log, "event=1004"));
    CHECK_FALSE(Contains(log, secret));
    CHECK_FALSE(Contains(log, kOperatorToken));
    CHECK_FALSE(Contains(log, "0123456789abcdef"));
  }
}

}  // namespace
}  // namespace chestnutport::test
