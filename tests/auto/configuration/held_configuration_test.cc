// What a node takes into force, whatever reaches it in whatever order.
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

// Takes whatever has all its documents, as a node would that trusts each
// source to know best.
class Credulous {
 public:
  ApplyResult Apply(const Head& head, const Documents&) {
    head_ = head;
    return ApplyResult::kApplied;
  }
  const Head& head() const { return head_; }

 private:
  Head head_;
};

// Offers revisions in the order of `offered`; false if one went back.
template <typename Held>
bool NeverGoesBack(const std::vector<int>& offered) {
  Held local;
  uint64_t greatest = 0;
  for (const int revision : offered) {
    const auto number = static_cast<uint64_t>(revision);
    local.Apply(MakeHead(number), DocumentsOf(number));
    greatest = std::max(greatest, number);
    if (local.head().revision != greatest)
      return false;
  }
  return true;
}

TEST_CASE("a revision never goes back") {
  rc::prop("whatever the order of the offers", [] {
    const auto offered =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, kRevisions));
    RC_ASSERT(NeverGoesBack<LocalConfiguration>(offered));
  });
  CHECK_FALSE(NeverGoesBack<Credulous>({3, 2}));
}

TEST_CASE("only a whole configuration is taken") {
  LocalConfiguration local;
  REQUIRE(local.Apply(MakeHead(1), DocumentsOf(1)) == ApplyResult::kApplied);
  CHECK(local.Apply(MakeHead(1), DocumentsOf(1)) == ApplyResult::kNotNewer);
  CHECK(local.Apply(MakeHead(2), {}) == ApplyResult::kIncomplete);
  CHECK(local.Apply(MakeHead(2), {{DocumentHash(Text(2)), "other"}}) ==
        ApplyResult::kIncomplete);
  CHECK(local.head().revision == 1);
  CHECK(local.Apply(MakeHead(2), DocumentsOf(2)) == ApplyResult::kApplied);
}

TEST_CASE("a node fetches from another what it lacks") {
  LocalConfiguration newer;
  newer.Apply(MakeHead(5), DocumentsOf(5));
  PackedDocumentCache packed;

  SECTION("only the documents that changed since") {
    const FetchResponse answer = MakeFetchResponse({4}, newer, packed);
    CHECK(answer.packed.size() == 1);
    LocalConfiguration older;
    older.Apply(MakeHead(4), DocumentsOf(4));
    const auto read = FetchResponse::FromJson(answer.ToJson());
    REQUIRE(read);
    CHECK(older.Apply(*read->head, read->documents) == ApplyResult::kApplied);
  }
  SECTION("all of them if it has nothing") {
    CHECK(MakeFetchResponse({0}, newer, packed).packed.size() == 2);
  }
  SECTION("nothing but the revision if it is as new") {
    const FetchResponse answer = MakeFetchResponse({5}, newer, packed);
    CHECK(answer.revision == 5);
    CHECK_FALSE(answer.head);
    CHECK(answer.ToJson().size() < 30);
  }
  SECTION("a malformed message is refused") {
    CHECK_FALSE(FetchRequest::FromJson("{\"have\": -1}"));
    CHECK_FALSE(FetchRequest::FromJson("[]"));
    CHECK_FALSE(FetchResponse::FromJson("{\"revision\": 1, \"head\": 7}"));
    CHECK_FALSE(FetchResponse::FromJson("{\"revision\": 1, \"head\": \"x\"}"));
  }
}

}  // namespace
}  // namespace chestnutport::configuration
