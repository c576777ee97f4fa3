// The local configuration under updates in any order. Guards against going back
// to an older revision and against applying an incomplete one.
#include "configuration/local_configuration.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "configuration/fetch.h"

namespace chestnutport::configuration {
namespace {

constexpr int kRevisions = 8;

std::string Text(uint64_t revision) {
  return "text " + std::to_string(revision);
}

Head MakeHead(uint64_t revision) {
  Head head;
  for (uint64_t i = 1; i <= revision; ++i) {
    const Manifest manifest = {{"a", DocumentHash(Text(i))},
                               {"fixed", DocumentHash("fixed")}};
    head = NextHead(head, manifest, {.plan_id = std::to_string(i)});
  }
  return head;
}

Documents DocumentsOf(uint64_t revision) {
  return MakeDocuments({{"a", Text(revision)}, {"fixed", "fixed"}});
}

// Faulty implementation that applies every update.
class AlwaysApplying {
 public:
  ApplyResult Apply(const Head& head, const Documents&) {
    head_ = head;
    return ApplyResult::kApplied;
  }
  const Head& head() const { return head_; }

 private:
  Head head_;
};

// Applies `revisions` in order; returns false if the revision ever decreased.
template <typename Configuration>
bool NeverDecreases(const std::vector<int>& revisions) {
  Configuration local;
  uint64_t greatest = 0;
  for (const int revision : revisions) {
    const auto number = static_cast<uint64_t>(revision);
    local.Apply(MakeHead(number), DocumentsOf(number));
    greatest = std::max(greatest, number);
    if (local.head().revision != greatest)
      return false;
  }
  return true;
}

TEST_CASE("the revision never decreases") {
  rc::prop("in any order of updates", [] {
    const auto revisions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, kRevisions));
    RC_ASSERT(NeverDecreases<LocalConfiguration>(revisions));
  });
  CHECK_FALSE(NeverDecreases<AlwaysApplying>({3, 2}));
}

TEST_CASE("only a complete configuration is applied") {
  LocalConfiguration local;
  REQUIRE(local.Apply(MakeHead(1), DocumentsOf(1)) == ApplyResult::kApplied);
  CHECK(local.Apply(MakeHead(1), DocumentsOf(1)) == ApplyResult::kNotNewer);
  CHECK(local.Apply(MakeHead(2), {}) == ApplyResult::kIncomplete);
  CHECK(local.Apply(MakeHead(2), {{DocumentHash(Text(2)), "other"}}) ==
        ApplyResult::kIncomplete);
  CHECK(local.head().revision == 1);
  CHECK(local.Apply(MakeHead(2), DocumentsOf(2)) == ApplyResult::kApplied);
}

TEST_CASE("a fetch returns what the requesting node lacks") {
  LocalConfiguration newer;
  newer.Apply(MakeHead(5), DocumentsOf(5));
  PackedDocumentCache packed;

  SECTION("only the changed documents") {
    const FetchResponse response = MakeFetchResponse({4}, newer, packed);
    CHECK(response.packed.size() == 1);
    LocalConfiguration older;
    older.Apply(MakeHead(4), DocumentsOf(4));
    const auto read = FetchResponse::FromJson(response.ToJson());
    REQUIRE(read);
    CHECK(older.Apply(*read->head, read->documents) == ApplyResult::kApplied);
  }
  SECTION("all documents if it has none") {
    CHECK(MakeFetchResponse({0}, newer, packed).packed.size() == 2);
  }
  SECTION("only the revision if it is up to date") {
    const FetchResponse response = MakeFetchResponse({5}, newer, packed);
    CHECK(response.revision == 5);
    CHECK_FALSE(response.head);
    CHECK(response.ToJson().size() < 30);
  }
  SECTION("a malformed message is rejected") {
    CHECK_FALSE(FetchRequest::FromJson("{\"have\": -1}"));
    CHECK_FALSE(FetchRequest::FromJson("[]"));
    CHECK_FALSE(FetchResponse::FromJson("{\"revision\": 1, \"head\": 7}"));
    CHECK_FALSE(FetchResponse::FromJson("{\"revision\": 1, \"head\": \"x\"}"));
  }
}

}  // namespace
}  // namespace chestnutport::configuration
