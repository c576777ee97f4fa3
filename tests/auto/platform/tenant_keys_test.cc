// Tenants' keys at node processes on the stand-in of the hosted platform.
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "base/text.h"
#include "support/hosted_node.h"
#include "support/hosted_platform.h"
#include "support/http_caller.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using net::FindHeader;
using net::HttpHeaders;

constexpr char kAcmeKey[] = "secret-qz-acme-5f0c";
constexpr char kNewKey[] = "secret-qz-later-81d2";
constexpr char kUnknownKey[] = "secret-qz-nobody-77aa";
// In each key, so that one that is cut at its end is found.
constexpr char kSecretPart[] = "secret-qz";

std::string ConfigurationText(int version, const std::string& tenant_rows) {
  const std::string tenants =
      tenant_rows.empty()
          ? ""
          : absl::StrCat(R"(,"tenants":{"columns":["name","apiKeys",)",
                         R"("priority","ratePerS","burst"],"rows":[)",
                         tenant_rows, "]}");
  return absl::StrCat(
      R"({"version":)", version,
      R"(,"routes":{"columns":["name","host","prefix","routeKind","timeout",)",
      R"("targetLatency","priority","service","attempts","public"],"rows":)",
      R"([["r","a.example","/p/","idempotent","2s","400ms",1,"dossie",2,null],)",
      R"(["o","a.example","/open/","idempotent","2s","400ms",1,"dossie",2,)",
      R"(true]]},"services":{"columns":["name","healthPath"],)",
      R"("rows":[["dossie","/healthz"]]},"limits":{})", tenants, "}");
}

std::string Acme(const std::vector<std::string>& keys) {
  std::string list;
  for (const std::string& key : keys)
    absl::StrAppend(&list, list.empty() ? "" : ",", "\"", key, "\"");
  return absl::StrCat(R"(["acme",[)", list, "],2,0,0]");
}

class TenantFleet {
 public:
  TenantFleet()
      : folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("tenants-", getpid())),
        server_(platform.AddServer("dossie", "i-1")) {
    std::filesystem::create_directories(folder_);
    node =
        std::make_unique<HostedNode>("one", platform.store_address(), folder_);
  }
  ~TenantFleet() {
    node.reset();
    std::filesystem::remove_all(folder_);
  }
  TenantFleet(const TenantFleet&) = delete;
  TenantFleet& operator=(const TenantFleet&) = delete;

  void Start(const std::string& tenant_rows) {
    Configure(tenant_rows);
    REQUIRE(WaitUntil([&] { return node->IsReady(); }));
    node->Announce(server_, "ready", 1);
    REQUIRE(
        WaitUntil([&] { return Call("/open/x", "start", {}).status == 200; }));
  }
  // Kills the node and starts it again; the server goes on.
  void RestartNode() {
    node->KeepAddresses();
    node->Kill();
    node->Start();
    REQUIRE(WaitUntil([&] { return node->IsReady(); }));
    node->Announce(server_, "ready", 2);
    REQUIRE(
        WaitUntil([&] { return Call("/open/x", "again", {}).status == 200; }));
  }
  void Configure(const std::string& tenant_rows) {
    platform.Put("op/config", ConfigurationText(++version_, tenant_rows));
  }

  net::HttpAnswer Call(const std::string& path,
                       const std::string& id,
                       HttpHeaders headers) {
    headers.push_back({"Host", "a.example"});
    headers.push_back({"Request-Id", id});
    auto answer =
        SendAndWait(
            node->caller_address(),
            {.method = "GET", .target = path, .headers = std::move(headers)})
            .answer;
    absl::StrAppend(&answers, answer.body, "\n");
    for (const net::HttpHeader& header : answer.headers)
      absl::StrAppend(&answers, header.name, ": ", header.value, "\n");
    return answer;
  }

  // Returns the headers that the server got with request `id`, or nothing if
  // it did not get it.
  std::vector<HttpHeaders> HeadersOf(const std::string& id) {
    std::vector<HttpHeaders> found;
    platform.Run([&] {
      for (const net::HttpRequest& request : server_.requests) {
        if (FindHeader(request.headers, "Request-Id") == id)
          found.push_back(request.headers);
      }
    });
    return found;
  }
  std::vector<std::string> TenantsOf(const std::string& id) {
    std::vector<std::string> tenants;
    for (const HttpHeaders& headers : HeadersOf(id)) {
      for (const net::HttpHeader& header : headers) {
        if (base::EqualsIgnoreCase(header.name, "Tenant"))
          tenants.push_back(header.value);
      }
    }
    return tenants;
  }
  // Returns all headers that the server got, as text.
  std::string ServerHeaders() {
    std::string text;
    platform.Run([&] {
      for (const net::HttpRequest& request : server_.requests) {
        for (const net::HttpHeader& header : request.headers)
          absl::StrAppend(&text, header.name, ": ", header.value, "\n");
      }
    });
    return text;
  }
  // Makes the server keep the request `id` until Release().
  void Hold(const std::string& id) {
    platform.Run([&] {
      server_.defer_response = [this, id](const net::HttpRequest& request,
                                          net::Reply& reply) {
        if (FindHeader(request.headers, "Request-Id") != id)
          return false;
        held_.push_back(std::move(reply));
        return true;
      };
    });
  }
  void Release() {
    platform.Run([&] {
      for (net::Reply& reply : held_)
        reply.Send(HostedPlatform::DefaultAnswer(server_, {}));
      held_.clear();
    });
  }

  HostedPlatform platform;
  std::unique_ptr<HostedNode> node;
  std::string answers;  // All headers and bodies that callers got.

 private:
  std::filesystem::path folder_;
  HostedServer& server_;
  std::vector<net::Reply> held_;  // Used on the platform's thread.
  int version_ = 0;
};

TEST_CASE("a node whose configuration declares tenants") {
  TenantFleet fleet;
  fleet.Start(Acme({kAcmeKey}));
  const HttpHeaders acme = {{"Credential", kAcmeKey}, {"Tenant", "forged"}};

  SECTION("passes on the tenant's name in place of a known key") {
    CHECK(fleet.Call("/p/x", "known", acme).status == 200);
    CHECK(fleet.TenantsOf("known") == std::vector<std::string>{"acme"});
  }
  SECTION("answers 401 to an unknown or missing key, without any attempt") {
    CHECK(fleet.Call("/p/x", "unknown", {{"Credential", kUnknownKey}}).status ==
          401);
    const auto missing = fleet.Call("/p/x", "missing", {{"Tenant", "acme"}});
    CHECK(missing.status == 401);
    CHECK(FindHeader(missing.headers, "Chestnutport-Error") == "unknown-key");
    CHECK(FindHeader(missing.headers, "Request-Id") == "missing");
    CHECK(fleet.HeadersOf("unknown").empty());
    CHECK(fleet.HeadersOf("missing").empty());
  }
  SECTION("serves a public route without a key and without a tenant") {
    CHECK(fleet.Call("/open/x", "public", {{"Tenant", "forged"}}).status ==
          200);
    CHECK(fleet.HeadersOf("public").size() == 1);
    CHECK(fleet.TenantsOf("public").empty());
  }
  SECTION("applies keys that a new configuration adds and removes") {
    CHECK(fleet.Call("/p/x", "early", {{"Credential", kNewKey}}).status == 401);
    fleet.Configure(Acme({kNewKey}));
    CHECK(WaitUntil([&] {
      return fleet.Call("/p/x", "added", {{"Credential", kNewKey}}).status ==
             200;
    }));
    CHECK(fleet.Call("/p/x", "removed", acme).status == 401);
    CHECK(fleet.HeadersOf("removed").empty());
  }
  SECTION("accepts a call that the server makes for a request it runs") {
    fleet.Hold("outer");
    std::thread caller([&] {
      SendAndWait(fleet.node->caller_address(),
                  {.method = "GET",
                   .target = "/p/x",
                   .headers = {{"Host", "a.example"},
                               {"Request-Id", "outer"},
                               {"Credential", kAcmeKey}}});
    });
    const bool is_running =
        WaitUntil([&] { return !fleet.HeadersOf("outer").empty(); });
    const auto nested = fleet.Call("/p/y", "outer.1", {{"Tenant", "forged"}});
    const auto other = fleet.Call("/p/y", "outer2.1", {});
    fleet.Release();
    caller.join();
    CHECK(is_running);
    CHECK(nested.status == 200);
    CHECK(fleet.HeadersOf("outer.1").size() == 1);
    CHECK(fleet.TenantsOf("outer.1").empty());
    CHECK(other.status == 401);

    SECTION("but not once the request has ended") {
      CHECK(fleet.Call("/p/y", "outer.2", {}).status == 401);
    }
  }
  // The server goes on with it, so a 401 would be wrong.
  SECTION("accepts the calls of a request that the node gave up") {
    fleet.Hold("late");
    auto headers = acme;
    headers.push_back({"Deadline-Ms", "200"});
    CHECK(fleet.Call("/p/x", "late", headers).status >= 500);
    REQUIRE(fleet.HeadersOf("late").size() == 1);
    CHECK(fleet.Call("/p/y", "late.1", {}).status == 200);
    CHECK(fleet.TenantsOf("late.1").empty());
    fleet.Release();
  }

  // A 401 would be final, and the node cannot know that it is right.
  SECTION("rejects a call of a request that outlived it, to be sent again") {
    fleet.Hold("outer");
    std::thread caller([&] {
      SendAndWait(fleet.node->caller_address(),
                  {.method = "GET",
                   .target = "/p/x",
                   .headers = {{"Host", "a.example"},
                               {"Request-Id", "outer"},
                               {"Credential", kAcmeKey}}});
    });
    const bool is_running =
        WaitUntil([&] { return !fleet.HeadersOf("outer").empty(); });
    fleet.RestartNode();
    const auto nested = fleet.Call("/p/y", "outer.1", {});
    fleet.Release();
    caller.join();
    CHECK(is_running);
    CHECK(nested.status == 503);
    CHECK_FALSE(FindHeader(nested.headers, "Retry-After").empty());
    CHECK(fleet.HeadersOf("outer.1").empty());
    CHECK(fleet.Call("/p/y", "keyless", {}).status == 401);
    CHECK(fleet.Call("/p/y", "a.1", {{"Credential", kUnknownKey}}).status ==
          401);
  }

  // A key in a log or an answer is a key that others can use.
  SECTION("shows no key anywhere") {
    fleet.Call("/p/x", "known", acme);
    fleet.Call("/p/x", "unknown", {{"Credential", kUnknownKey}});
    fleet.Call("/open/x", "public", acme);
    fleet.Call("/none/x", "no-route", acme);
    fleet.Configure(Acme({kNewKey, kAcmeKey}));
    CHECK(WaitUntil([&] {
      return fleet.Call("/p/x", "new", {{"Credential", kNewKey}}).status == 200;
    }));
    std::string shown = fleet.answers + fleet.ServerHeaders();
    for (const char* path :
         {"/v1/status", "/v1/revisions", "/v1/history", "/v1/metrics",
          "/v1/quarantine", "/v1/evacuations"}) {
      const auto answer = fleet.node->Operate("GET", path);
      CHECK(answer.status == 200);
      absl::StrAppend(&shown, answer.body, "\n");
    }
    const auto plan = fleet.node->Operate(
        "POST", "/v1/plan",
        absl::StrCat(R"({"services":{"tenants":"[tenant a]\nkey_digests = )",
                     kAcmeKey, R"("}})"));
    absl::StrAppend(
        &shown, plan.body, "\n",
        fleet.node->Operate("POST", "/v1/plan", R"({"services":{}})").body);
    CHECK(shown.find("acme") != std::string::npos);
    CHECK(shown.find("op/config") != std::string::npos);
    CHECK(WaitUntil([&] {
      return fleet.node->process().Output().find("unknown-key") !=
             std::string::npos;
    }));
    absl::StrAppend(&shown, fleet.node->process().Output());
    CHECK(shown.find(kSecretPart) == std::string::npos);
    CHECK(shown.find(base::Digest(kAcmeKey)) == std::string::npos);
  }
}

// Deployments without tenants must see no difference.
TEST_CASE("a node without tenants passes both headers on") {
  TenantFleet fleet;
  fleet.Start("");
  const HttpHeaders headers = {{"Credential", "any"}, {"Tenant", "own"}};
  CHECK(fleet.Call("/p/x", "r1", headers).status == 200);
  REQUIRE(fleet.HeadersOf("r1").size() == 1);
  CHECK(FindHeader(fleet.HeadersOf("r1")[0], "Credential") == "any");
  CHECK(fleet.TenantsOf("r1") == std::vector<std::string>{"own"});
  CHECK(fleet.Call("/p/x", "r2", {}).status == 200);
}

}  // namespace
}  // namespace chestnutport::test
