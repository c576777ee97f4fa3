// Requests with tenants' keys: how they are read, accepted and ranked.
#include <catch2/catch.hpp>

#include "ingress/caller_request.h"
#include "ingress/key_policy.h"
#include "ingress/request_priority.h"
#include "wire/header_names.h"

namespace chestnutport::ingress {
namespace {

using base::ErrorKind;
using declarations::KeyDigest;
using net::FindHeader;

constexpr std::chrono::seconds kSecond(1);
const base::BootInstant kNow(kSecond * 1000);

declarations::Configuration Declared() {
  declarations::Configuration configuration;
  configuration.revision = 1;
  declarations::ServiceDeclaration service;
  service.name = "dossie";
  service.path_prefix = "/";
  service.classes = {{"slow", 9}, {"urgent", 1}, {"usual", 4}};
  declarations::ServiceDeclaration open = service;
  open.name = "open";
  open.path_prefix = "/open/";
  open.is_public = true;
  configuration.services = {service, open};
  configuration.tenants = declarations::TenantDirectory(
      {{.name = "acme",
        .keys = {KeyDigest::Of("k1")},
        .urgency = 3,
        .rate = 5,
        .burst = 8},
       {.name = "kivisaar", .keys = {KeyDigest::Of("k2")}}});
  return configuration;
}

CallerRequest Read(const declarations::Configuration& configuration,
                   net::HttpHeaders headers,
                   const std::string& target = "/1") {
  return ReadCallerRequest(
             configuration,
             {.method = "GET", .target = target, .headers = std::move(headers)})
      .value();
}

TEST_CASE("a request read while tenants are declared") {
  const auto configuration = Declared();
  const net::HttpHeaders forged = {{wire::kTenantHeader, "kivisaar"}};

  SECTION("has the account of its key, whatever tenant the caller states") {
    auto headers = forged;
    headers.push_back({wire::kTenantKeyHeader, "k1"});
    const auto read = Read(configuration, headers);
    CHECK(read.key_check == KeyCheck::kKnown);
    CHECK(read.tenant == "acme");
    REQUIRE(read.tenant_account);
    CHECK(read.tenant_account->rate == 5);
    CHECK(read.tenant_account->burst == 8);
    CHECK(FindHeader(read.http.headers, wire::kTenantKeyHeader).empty());
    CHECK(FindHeader(read.http.headers, wire::kTenantHeader).empty());
  }
  SECTION("has no tenant without a known key") {
    CHECK(Read(configuration, forged).key_check == KeyCheck::kMissing);
    CHECK(Read(configuration, forged).tenant.empty());
    const auto read = Read(configuration, {{wire::kTenantKeyHeader, "k3"}});
    CHECK(read.key_check == KeyCheck::kUnknown);
    CHECK_FALSE(read.tenant_account);
  }
  SECTION("needs no key on a public route") {
    const auto read =
        Read(configuration, {{wire::kTenantKeyHeader, "k1"}}, "/open/1");
    CHECK(read.key_check == KeyCheck::kNotRequired);
    CHECK(read.tenant.empty());
    CHECK_FALSE(read.tenant_account);
  }
}

// Other deployments must be served as before, except that a key never reaches
// a server.
TEST_CASE("without declared tenants, the caller's tenant is used") {
  auto configuration = Declared();
  configuration.tenants = {};
  const auto read = Read(configuration, {{wire::kTenantHeader, "any"},
                                         {wire::kTenantKeyHeader, "k1"}});
  CHECK(read.key_check == KeyCheck::kNotRequired);
  CHECK(read.tenant == "any");
  CHECK(FindHeader(read.http.headers, wire::kTenantKeyHeader).empty());
}

TEST_CASE("a request is accepted or refused by its key") {
  KeyPolicy policy;
  const auto error = [&policy](KeyCheck check,
                               CallOrigin origin = CallOrigin::kCaller) {
    return policy.FindError(check, origin, kNow);
  };
  SECTION("with a configuration that is current") {
    CHECK_FALSE(error(KeyCheck::kNotRequired));
    CHECK_FALSE(error(KeyCheck::kKnown));
    CHECK(error(KeyCheck::kUnknown) == ErrorKind::kUnknownKey);
    CHECK(error(KeyCheck::kMissing) == ErrorKind::kUnknownKey);
  }
  SECTION("a nested call passes without a key, but not with a wrong one") {
    CHECK_FALSE(error(KeyCheck::kMissing, CallOrigin::kNested));
    CHECK(error(KeyCheck::kUnknown, CallOrigin::kNested) ==
          ErrorKind::kUnknownKey);
  }
  // A 401 would be final for a call of a request that outlived the node.
  SECTION("a call that may be nested is not run, and may come back") {
    const auto named = CallOrigin::kNestedByName;
    CHECK(error(KeyCheck::kMissing, named) == ErrorKind::kUnknownKey);
    policy.earlier_requests_until = kNow + base::Duration(1);
    CHECK(error(KeyCheck::kMissing, named) == ErrorKind::kCallUnknown);
    CHECK(error(KeyCheck::kMissing) == ErrorKind::kUnknownKey);
    CHECK(error(KeyCheck::kUnknown, named) == ErrorKind::kUnknownKey);
    policy.earlier_requests_until = kNow;
    CHECK(error(KeyCheck::kMissing, named) == ErrorKind::kUnknownKey);
    CHECK(base::AnswerTo(ErrorKind::kCallUnknown).http_status == 503);
  }
  // A 401 for a key that the newer revision adds would be wrong.
  SECTION("nothing is called unknown while a newer revision is known") {
    policy.is_behind = true;
    CHECK(error(KeyCheck::kUnknown) == ErrorKind::kConfigurationStale);
    CHECK(error(KeyCheck::kMissing) == ErrorKind::kConfigurationStale);
    CHECK_FALSE(error(KeyCheck::kKnown));
    CHECK_FALSE(error(KeyCheck::kMissing, CallOrigin::kNested));
  }
  // The key may have been revoked.
  SECTION("no key is accepted after the end of the proof") {
    policy.current_until = kNow;
    for (const auto check :
         {KeyCheck::kKnown, KeyCheck::kUnknown, KeyCheck::kMissing}) {
      CHECK(error(check) == ErrorKind::kConfigurationStale);
    }
    CHECK_FALSE(error(KeyCheck::kNotRequired));
    CHECK_FALSE(error(KeyCheck::kMissing, CallOrigin::kNested));
    policy.current_until = kNow + base::Duration(1);
    CHECK_FALSE(error(KeyCheck::kKnown));
    CHECK(error(KeyCheck::kUnknown) == ErrorKind::kUnknownKey);
  }
  CHECK(base::AnswerTo(ErrorKind::kConfigurationStale).retry_after.count() > 0);
}

TEST_CASE("the class and the tenant under which a request waits") {
  auto configuration = Declared();
  CallerRequest request;
  request.service = "dossie";
  request.traffic_class = "urgent";
  const traffic::RunningRequest slow{"slow", "acme"};

  SECTION("the urgency of its tenant precedes that of its route") {
    request.tenant_account = RequestAccount{.name = "acme"};
    const std::vector<std::pair<int, std::string>> rows = {
        {0, "urgent"}, {1, "urgent"}, {2, "usual"}, {4, "usual"}, {20, "slow"}};
    for (const auto& [urgency, expected] : rows) {
      request.tenant_account->urgency = urgency;
      SetPriority(configuration, {}, request);
      CHECK(request.traffic_class == expected);
    }
    SECTION("which holds if the tenant has none") {
      request.traffic_class = "usual";
      request.tenant_account->urgency.reset();
      SetPriority(configuration, {}, request);
      CHECK(request.traffic_class == "usual");
    }
  }
  SECTION("a nested call takes both from the request it is made for") {
    SetPriority(configuration, slow, request);
    CHECK(request.traffic_class == "slow");
    CHECK(request.tenant == "acme");
    SetPriority(configuration, traffic::RunningRequest{"urgent", "acme"},
                request);
    CHECK(request.traffic_class == "urgent");
  }
  SECTION("a nested call with an account of its own keeps it") {
    request.tenant = "kivisaar";
    request.tenant_account = RequestAccount{.name = "kivisaar"};
    SetPriority(configuration, slow, request);
    CHECK(request.traffic_class == "urgent");
    CHECK(request.tenant == "kivisaar");
  }
  SECTION("without declared tenants a nested call only becomes less urgent") {
    configuration.tenants = {};
    request.tenant = "own";
    SetPriority(configuration, slow, request);
    CHECK(request.traffic_class == "slow");
    SetPriority(configuration, traffic::RunningRequest{"urgent", "acme"},
                request);
    CHECK(request.traffic_class == "slow");
    CHECK(request.tenant == "own");
  }
}

}  // namespace
}  // namespace chestnutport::ingress
