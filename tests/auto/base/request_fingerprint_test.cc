// Which requests are the same.
#include "base/request_fingerprint.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

namespace chestnutport::base {
namespace {

constexpr RequestContent kReading{.tenant = "",
                                  .method = "GET",
                                  .host = "a.example",
                                  .target = "/gauge/7?page=1",
                                  .body_hash = 0};

TEST_CASE("a request that is sent again has the same fingerprint") {
  CHECK(RequestFingerprint::Of(kReading) == RequestFingerprint::Of(kReading));

  SECTION("and one that differs in any part has another") {
    const auto usual = RequestFingerprint::Of(kReading);
    RequestContent other = kReading;
    SECTION("for another customer") {
      other.tenant = "b";
    }
    SECTION("by another method") {
      other.method = "POST";
    }
    SECTION("of another host") {
      other.host = "b.example";
    }
    SECTION("for another page") {
      other.target = "/gauge/7?page=2";
    }
    SECTION("with a body") {
      other.body_hash = 1;
    }
    CHECK(RequestFingerprint::Of(other) != usual);
  }
}

TEST_CASE("a fingerprint travels as text") {
  rc::prop("and is read as it was written", [](uint64_t value) {
    const RequestFingerprint fingerprint{value};
    RC_ASSERT(RequestFingerprint::Parse(fingerprint.ToString()) == fingerprint);
  });
  CHECK_FALSE(RequestFingerprint::Parse(""));
  CHECK_FALSE(RequestFingerprint::Parse("12"));
  CHECK_FALSE(RequestFingerprint::Parse("000000000000000g"));
}

}  // namespace
}  // namespace chestnutport::base
