// Checks that each relative link in the documentation points to an existing
// file.
#include <catch2/catch.hpp>

#include "source_tree.h"

namespace chestnutport::test {
namespace {

TEST_CASE("each link in the pages points to a file") {
  for (const auto& page : Pages()) {
    for (const std::string& link :
         Matches(ReadFile(page), R"(\]\(([^)#:]+)(?:#[^)]*)?\))")) {
      INFO(page.string() << " links to " << link);
      CHECK(std::filesystem::exists(page.parent_path() / link));
    }
  }
}

}  // namespace
}  // namespace chestnutport::test
