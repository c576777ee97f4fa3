// Checks that events named in the documentation exist, that each header is
// documented, and that the code follows the glossary.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>
#include <regex>
#include <string>

#include "source_tree.h"
#include "telemetry/event.h"

namespace chestnutport::test {
namespace {

TEST_CASE("each event number in the pages exists") {
  for (const auto& page : Pages()) {
    for (const std::string& number :
         Matches(ReadFile(page), "event(?:=| )([0-9]{4})")) {
      const auto event = static_cast<telemetry::Event>(std::stoi(number));
      INFO(page.string() << " names event " << number);
      CHECK(telemetry::Describe(event).event == event);
    }
  }
}

TEST_CASE("each header is described for callers") {
  const std::string names =
      ReadFile(SourceFolder() / "src/libs/wire/header_names.h");
  const std::string page = ReadFile(SourceFolder() / "docs/CALLERS.md");
  const auto headers = Matches(names, "\\[\\] =\\s+\"([^\"]+)\"");
  REQUIRE(headers.size() > 10);
  for (const std::string& header : headers) {
    INFO(header);
    CHECK(page.find("| " + header + " |") != std::string::npos);
  }
}

TEST_CASE("the code uses the words VM, data centre, caller and server") {
  for (const auto& file : FilesBelow("src", {".h", ".cc"})) {
    // Identifiers of third-party libraries are exempt.
    std::string text = std::regex_replace(
        ReadFile(file), std::regex("UTCTimeZone|text_ostream_backend"), "");
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    for (const std::string& word :
         Matches(text, "(machine|zone|customer|back[ _-]?end)")) {
      INFO(file.string());
      CHECK(word.empty());
    }
  }
}

}  // namespace
}  // namespace chestnutport::test
