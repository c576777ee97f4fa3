// Matching of requests to routes.
#include "declarations/route_table.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

namespace chestnutport::declarations {
namespace {

RouteDeclaration Route(const std::string& host, const std::string& prefix) {
  RouteDeclaration route;
  route.name = absl::StrCat(host, prefix);
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

TEST_CASE("the longest path prefix of the host matches") {
  const RouteTable table({Route("a", "/"), Route("a", "/long/"),
                          Route("a", "/l/"), Route("b", "/long/er/")});
  CHECK(table.size() == 4);
  CHECK(table.Match("a", "/long/er/x")->name == "a/long/");
  CHECK(table.Match("a", "/l/x")->name == "a/l/");
  CHECK(table.Match("a", "/lo")->name == "a/");
  CHECK(table.Match("b", "/long/er/")->name == "b/long/er/");
  CHECK_FALSE(table.Match("b", "/long/"));
  CHECK_FALSE(table.Match("c", "/"));
  CHECK_FALSE(RouteTable().Match("a", "/"));
}

TEST_CASE("of equal prefixes the first declared one matches") {
  auto first = Route("a", "/p/");
  first.name = "first";
  const RouteTable table({first, Route("a", "/p/")});
  CHECK(table.Match("a", "/p/")->name == "first");
}

TEST_CASE("two thousand routes match independently") {
  std::vector<RouteDeclaration> routes;
  for (int i = 0; i < 2000; ++i)
    routes.push_back(
        Route(absl::StrCat("h", i % 40), absl::StrCat("/", i, "/")));
  const RouteTable table(std::move(routes));
  for (int i = 0; i < 2000; ++i) {
    const auto host = absl::StrCat("h", i % 40);
    const auto* route = table.Match(host, absl::StrCat("/", i, "/x"));
    REQUIRE(route);
    CHECK(route->name == absl::StrCat(host, "/", i, "/"));
  }
}

}  // namespace
}  // namespace chestnutport::declarations
