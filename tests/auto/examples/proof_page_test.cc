// Checks that the tests named in docs/PROOF.md exist.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

namespace chestnutport::test {
namespace {

std::string ReadFile(const std::string& path) {
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Returns whether `source` has a section or test case of this name. The
// formatter may put a long name on its own line and split it into several
// literals.
bool HasTest(const std::string& source, const std::string& name) {
  std::string normalised =
      std::regex_replace(source, std::regex("\"\\s*\""), "");
  normalised = std::regex_replace(normalised, std::regex("\\(\\s*\""), "(\"");
  std::string wanted = "(\"";
  wanted.append(name).append("\"");
  return normalised.find(wanted) != std::string::npos;
}

TEST_CASE("docs/PROOF.md names only tests that exist") {
  const std::string root = std::getenv("CHESTNUTPORT_SOURCE");
  const std::string page = ReadFile(root + "/docs/PROOF.md");
  const std::regex reference("`([a-z_]+_test): ([^`]+)`");
  int count = 0;
  for (std::sregex_iterator it(page.begin(), page.end(), reference), end;
       it != end; ++it, ++count) {
    const std::string file = (*it)[1];
    const std::string name = (*it)[2];
    INFO(file << ": " << name);
    CHECK(
        HasTest(ReadFile(root + "/tests/auto/failures/" + file + ".cc"), name));
  }
  CHECK(count > 0);

  SECTION("and a name that does not exist is seen") {
    CHECK_FALSE(HasTest("SECTION(\"when it rains\")", "when it snows"));
    CHECK_FALSE(HasTest("INFO(text << \"when it snows\")", "when it snows"));
  }

  SECTION("and a long name is found however the formatter breaks it") {
    CHECK(HasTest("SECTION(\n      \"when it \"\n      \"rains\")",
                  "when it rains"));
  }
}

}  // namespace
}  // namespace chestnutport::test
