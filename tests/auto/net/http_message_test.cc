// What may be written to a connection, and what ends at a hop.
#include "net/http_message.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace chestnutport::net {
namespace {

TEST_CASE("a request is written only if it cannot be read as another") {
  HttpRequest request{.method = "GET", .target = "/a?b=c#d"};
  request.headers = {{"X-Empty", ""}, {"X-Tab", "a\tb"}, {"X-Utf", "\xc3\xa9"}};
  CHECK(IsWritable(request));

  SECTION("a target with a space or a line end is refused") {
    for (const char* target : {"", "/a b", "/a\r\nX: y", "/a\n", "/\x7f"}) {
      request.target = target;
      CHECK_FALSE(IsWritable(request));
    }
  }
  SECTION("a method that is no token is refused") {
    for (const char* method : {"", "GET /x", "G\nT", "G:T"}) {
      request.method = method;
      CHECK_FALSE(IsWritable(request));
    }
  }
  SECTION("no header value holds a control character") {
    rc::prop("for any byte", [&](char c) {
      request.headers = {{"X-Any", std::string("a") + c + "b"}};
      const bool control = (c >= 0 && c < ' ' && c != '\t') || c == 0x7f;
      RC_ASSERT(IsWritable(request) == !control);
    });
  }
}

TEST_CASE("headers that end at a hop are removed") {
  HttpHeaders headers = {{"Connection", "keep-alive, X-Mine"},
                         {"x-mine", "1"},
                         {"Transfer-Encoding", "chunked"},
                         {"X-Kept", "2"}};
  RemoveHopByHop(headers);
  REQUIRE(headers.size() == 1);
  CHECK(headers[0].name == "X-Kept");
}

TEST_CASE("a caller may name many headers that end at its hop") {
  constexpr int kNames = 3000;
  HttpHeaders headers = {{"X-Kept", "1"}};
  std::string names;
  for (int i = 0; i < kNames; ++i) {
    headers.push_back({"X-" + std::to_string(i), ""});
    names += "x-" + std::to_string(i) + ",";
  }
  headers.push_back({"CONNECTION", names});
  RemoveHopByHop(headers);
  REQUIRE(headers.size() == 1);
  CHECK(headers[0].name == "X-Kept");
}

}  // namespace
}  // namespace chestnutport::net
