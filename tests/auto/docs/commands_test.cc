// Checks that the documentation shows only commands that the program has.
#include <catch2/catch.hpp>
#include <set>

#include "source_tree.h"
#include "support/process.h"

namespace chestnutport::test {
namespace {

TEST_CASE("each command in the pages is one that the program has") {
  Process help("chestnutport", {"--help"});
  REQUIRE(help.WaitForExit(std::chrono::seconds(30)));
  const auto known =
      Matches(help.Output(), R"(\n +chestnutport (?:\[[^\]]*\] )*([a-z]+))");
  const std::set<std::string> commands(known.begin(), known.end());
  REQUIRE(commands.contains("plan"));
  for (const auto& page : Pages()) {
    for (const std::string& command : Matches(
             ReadFile(page), R"(\n(?:\$ )?chestnutport (?:--\S+ )*([a-z]+))")) {
      INFO(page.string() << " shows chestnutport " << command);
      CHECK(commands.contains(command));
    }
  }
}

}  // namespace
}  // namespace chestnutport::test
