// Packing of documents that are sent between nodes.
#include "configuration/packed_document_cache.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "configuration/fetch.h"

namespace chestnutport::configuration {
namespace {

// Resembles a document with many routes.
std::string ManyRoutes() {
  std::string text;
  for (int i = 0; i < 1400; ++i) {
    absl::StrAppend(
        &text, "{\"name\":\"r-", i * 7919,
        "\",\"host\":\"a.example\",\"prefix\":\"/p", i,
        "/\",\"routeKind\":\"idempotent\",\"timeout\":\"1000ms\"},");
  }
  return text;
}

TEST_CASE("a document is packed without loss and compressed") {
  const std::string text = GENERATE(std::string(), std::string("short"),
                                    std::string("\0\1\xff", 3), ManyRoutes());
  const std::string packed = PackDocument(text);
  CHECK(UnpackDocument(packed) == text);
  if (text.size() > 10'000)
    CHECK(packed.size() < text.size() / 4);
}

TEST_CASE("malformed packed documents are rejected") {
  const std::string packed = PackDocument(ManyRoutes());
  for (const std::string& bad :
       {std::string(), std::string("text"), std::string("5:"),
        "99999999999:" + packed, "4:" + packed.substr(packed.find(':') + 1),
        packed.substr(0, packed.size() / 2), std::string("-1:AAAA")}) {
    INFO(bad.substr(0, 20));
    CHECK_FALSE(UnpackDocument(bad));
  }
}

TEST_CASE("a fetched configuration is complete") {
  const declarations::DeclarationTexts texts = {{"one", ManyRoutes()}};
  Head head;
  head.revision = 7;
  head.manifest = MakeManifest(texts);
  LocalConfiguration local;
  REQUIRE(local.Apply(head, MakeDocuments(texts)) == ApplyResult::kApplied);
  PackedDocumentCache packed;
  const FetchResponse response = MakeFetchResponse({0}, local, packed);
  const std::string text = response.ToJson();
  CHECK(text.size() < ManyRoutes().size() / 4);
  const auto read = FetchResponse::FromJson(text);
  REQUIRE(read);
  LocalConfiguration other;
  CHECK(other.Apply(*read->head, read->documents) == ApplyResult::kApplied);

  SECTION("and is packed once for all requests") {
    MakeFetchResponse({0}, local, packed);
    CHECK(packed.size() == 1);
    packed.RetainOnly({});
    CHECK(packed.size() == 0);
  }
}

}  // namespace
}  // namespace chestnutport::configuration
