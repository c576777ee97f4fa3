// Checks that the sample declarations in docs/examples, which the demo uses,
// are valid.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "support/process.h"

namespace chestnutport::test {
namespace {

TEST_CASE("the sample declarations") {
  const std::string source = std::getenv("CHESTNUTPORT_SOURCE");

  SECTION("are accepted by the operators' command") {
    Process check("chestnutport", {"check", source + "/docs/examples"});
    const auto status = check.WaitForExit(std::chrono::seconds(20));
    INFO(check.Output());
    CHECK(status == 0);
  }

  SECTION("are checked: an invalid declaration is refused") {
    const std::string folder = std::string(std::getenv("CHESTNUTPORT_BIN")) +
                               "/../faulty-declarations";
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/a.ini") << "[service]\nname = a\nslots = none\n";
    Process check("chestnutport", {"check", folder});
    CHECK(check.WaitForExit(std::chrono::seconds(20)) != 0);
  }
}

}  // namespace
}  // namespace chestnutport::test
