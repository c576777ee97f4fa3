// Checks that the `explain` commands on the operations page, run on its sample
// log, give the causes that the page shows.
#include <catch2/catch.hpp>
#include <fstream>
#include <regex>

#include "source_tree.h"
#include "telemetry/request_story.h"

namespace chestnutport::test {
namespace {

TEST_CASE("each explained request on the page has the cause that it shows") {
  const std::string page = ReadFile(SourceFolder() / "docs/OPERATIONS.md");
  const auto requests = Matches(page, "chestnutport explain ([0-9a-f]{16}) ");
  REQUIRE(requests.size() == 3);
  for (const std::string& request : requests) {
    telemetry::RequestStory story(request);
    std::ifstream log(SourceFolder() / "docs/examples/incident-log.txt");
    for (std::string line; std::getline(log, line);)
      story.Add(line);
    INFO(request << ": " << story.Cause());
    CHECK_FALSE(story.Lines().empty());
    CHECK(page.find("cause: " + story.Cause()) != std::string::npos);
  }
}

}  // namespace
}  // namespace chestnutport::test
