// Requests to the hosted platform's store and its responses.
#include "platform/hosted_store_protocol.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/error_kind.h"

namespace chestnutport::platform {
namespace {

using base::ErrorKind;
using nlohmann::json;

net::HttpAnswer Answer(int status, const json& body) {
  return {.status = status, .headers = {}, .body = body.dump()};
}

const json kItem = {{"key", "op/config"},
                    {"value", "aGVsbG8="},
                    {"revision", 412},
                    {"asOf", 530}};

TEST_CASE("a read of one key") {
  const HostedStoreProtocol protocol;
  CHECK(protocol.Read("a b/c&d", store::Freshness::kLatest).target ==
        "/chestnutport/kv-key?key=a%20b/c%26d");
  CHECK(protocol.Read("a b/c&d", store::Freshness::kMayBeStale).target ==
        "/chestnutport/kv-key?key=a%20b/c%26d&staleOk=1");

  SECTION("returns an existing entry") {
    const auto page = protocol.ParseEntry(Answer(200, kItem));
    REQUIRE(page);
    REQUIRE(page.value().entries.size() == 1);
    CHECK(page.value().entries[0].value == "hello");
    CHECK(page.value().entries[0].revision == 412);
    CHECK(page.value().as_of == 530);
  }
  SECTION("returns no entry and no error for a missing key") {
    const auto page = protocol.ParseEntry(Answer(404, {{"asOf", 7}}));
    REQUIRE(page);
    CHECK(page.value().entries.empty());
    CHECK(page.value().as_of == 7);
  }
  SECTION("fails on a malformed or failed response") {
    const auto answer =
        GENERATE(Answer(503, json::object()), Answer(429, json::object()),
                 Answer(200, json::array()), Answer(200, {{"key", 7}}),
                 Answer(200, {{"key", "k"}, {"value", "no base64!"}}));
    CHECK_FALSE(protocol.ParseEntry(answer));
  }
}

TEST_CASE("a listing is read in pages") {
  const HostedStoreProtocol protocol;
  CHECK(protocol.List("a/", "", store::Freshness::kLatest).target ==
        "/chestnutport/kv-range?prefix=a/");
  CHECK(protocol.List("a/", "a/x", store::Freshness::kLatest).target ==
        "/chestnutport/kv-range?prefix=a/&after=a/x");
  CHECK(protocol.List("a/", "", store::Freshness::kMayBeStale).target ==
        "/chestnutport/kv-range?prefix=a/&staleOk=1");
  const auto page = protocol.ParsePage(
      Answer(200, {{"items", {kItem}}, {"hasMore", true}, {"asOf", 9}}));
  REQUIRE(page);
  CHECK(page.value().has_more);
  CHECK(page.value().entries.size() == 1);
  CHECK_FALSE(protocol.ParsePage(Answer(200, {{"items", 7}})));
}

TEST_CASE("a corrupt entry does not affect the other entries of a listing") {
  const HostedStoreProtocol protocol;
  const json corrupt =
      GENERATE(json{{"key", "a/2"}, {"value", "no base64!"}, {"revision", 6}},
               json{{"key", "a/2"}, {"value", 7}, {"revision", 6}},
               json{{"key", "a/2"}, {"value", nullptr}, {"revision", 6}});
  const auto page = protocol.ParsePage(
      Answer(200, {{"items", {kItem, corrupt, 7, {{"key", 7}}}}}));
  REQUIRE(page);
  REQUIRE(page.value().entries.size() == 2);
  CHECK(page.value().entries[0].value == "hello");
  CHECK(page.value().without_key == 2);

  SECTION("its revision is known, so that it can be overwritten") {
    CHECK(page.value().entries[1].key == "a/2");
    CHECK(page.value().entries[1].value.empty());
    CHECK(page.value().entries[1].revision == 6);
  }
}

TEST_CASE("a conditional write reports its outcome") {
  const HostedStoreProtocol protocol;
  const auto request = protocol.Swap({"k", 3, "v", 77});
  const json body = json::parse(request.body.ToString());
  CHECK(body["expected"][0]["revision"] == 3);
  CHECK(body["puts"][0]["value"] == "dg==");
  CHECK(body["puts"][0]["lease"] == 77);
  CHECK(protocol.ParseSwap(Answer(200, {{"revision", 4}})).value());
  CHECK(protocol.ParseWrittenRevision(Answer(200, {{"revision", 4}})) == 4);
  CHECK(protocol.ParseWrittenRevision(Answer(200, json::array())) == 0);
  CHECK_FALSE(
      protocol.ParseSwap(Answer(412, {{"items", json::array()}})).value());
  CHECK(base::KindOf(protocol.ParseSwap(Answer(503, {})).error()) ==
        ErrorKind::kStoreUnavailable);
  CHECK(base::KindOf(protocol.ParseSwap(Answer(500, {})).error()) ==
        ErrorKind::kStoreOutcomeUnknown);
}

TEST_CASE("a lease is granted and kept alive") {
  const HostedStoreProtocol protocol;
  const auto grant = protocol.Grant(std::chrono::seconds(3));
  CHECK(json::parse(grant.body.ToString())["ttl_time"] == "3000ms");
  CHECK(protocol.ParseGrant(Answer(200, {{"lease", 77120}})).value() == 77120);
  CHECK_FALSE(protocol.ParseGrant(Answer(200, json::object())));
  CHECK(protocol.KeepAlive(77120).target == "/chestnutport/kv-keep/77120");
  CHECK(protocol.ParseKeepAlive(Answer(200, json::object())).value());
  CHECK_FALSE(protocol.ParseKeepAlive(Answer(404, json::object())).value());
}

TEST_CASE("a lease is ended by another node than the one that granted it") {
  const HostedStoreProtocol protocol;

  SECTION("which reads its id from an entry") {
    json item = kItem;
    item["lease"] = 77120;
    const auto page = protocol.ParseEntry(Answer(200, item));
    CHECK(page.value().entries[0].lease == 77120);
    CHECK(protocol.ParseEntry(Answer(200, kItem)).value().entries[0].lease ==
          0);
  }
  SECTION("a lease that had ended before is not an error") {
    const auto request = protocol.EndLease(77120);
    CHECK(request.method == "DELETE");
    CHECK(request.target == "/chestnutport/kv-lease-end/77120");
    CHECK(protocol.ParseEndLease(Answer(200, json::object())).value());
    CHECK_FALSE(protocol.ParseEndLease(Answer(404, json::object())).value());
  }
  SECTION("a call that may have taken effect is not reported as not done") {
    CHECK(base::KindOf(
              protocol.ParseEndLease(Answer(500, json::object())).error()) ==
          ErrorKind::kStoreOutcomeUnknown);
    CHECK(base::KindOf(
              protocol.ParseEndLease(Answer(503, json::object())).error()) ==
          ErrorKind::kStoreUnavailable);
  }
}

TEST_CASE("a watch returns changes") {
  const HostedStoreProtocol protocol;
  CHECK(protocol.Watch("op/", 411, std::chrono::seconds(5)).target ==
        "/chestnutport/kv-watch?prefix=op/&after=411&waitMs=5000");

  SECTION("deleted entries are not among the changed ones") {
    const auto changes = protocol.ParseChanges(Answer(
        200, {{"events",
               {kItem, {{"key", "x"}, {"revision", 413}, {"deleted", true}}}},
              {"asOf", 413}}));
    REQUIRE(changes);
    CHECK(changes.value().changed.size() == 1);
    CHECK(changes.value().as_of == 413);
    CHECK_FALSE(changes.value().changes_missed);
  }
  SECTION("missed changes are reported") {
    CHECK(protocol.ParseChanges(Answer(410, json::object()))
              .value()
              .changes_missed);
  }
  SECTION("a malformed response is an error") {
    CHECK_FALSE(protocol.ParseChanges(Answer(200, {{"events", 1}})));
  }
}

}  // namespace
}  // namespace chestnutport::platform
