// Checks the layering and size of the libraries in src/libs, and that the
// source files named in the documentation exist.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "source_tree.h"

namespace chestnutport::test {
namespace {

constexpr char kLibraries[] = "src/libs";
// A larger library is assumed to have more than one responsibility.
constexpr ptrdiff_t kMaxLines = 3000;

// Returns the libraries from the lowest to the highest layer.
std::vector<std::string> Libraries() {
  return Matches(ReadFile(SourceFolder() / kLibraries / "CMakeLists.txt"),
                 R"(add_subdirectory\((\w+)\))");
}

std::vector<std::filesystem::path> SourceFiles(const std::string& library) {
  return FilesBelow(std::string(kLibraries) + "/" + library, {".h", ".cc"});
}

TEST_CASE("each library includes only those below it") {
  const auto libraries = Libraries();
  REQUIRE(libraries.size() > 10);
  for (auto library = libraries.begin(); library != libraries.end();
       ++library) {
    for (const auto& file : SourceFiles(*library)) {
      for (const std::string& included :
           Matches(ReadFile(file), "#include \"(\\w+)/")) {
        INFO(file.string() << " includes a file of " << included);
        const bool is_above = std::find(library + 1, libraries.end(),
                                        included) != libraries.end();
        CHECK_FALSE(is_above);
      }
    }
  }
}

TEST_CASE("no library exceeds the limit of lines") {
  for (const std::string& library : Libraries()) {
    ptrdiff_t lines = 0;
    for (const auto& file : SourceFiles(library))
      lines += std::ranges::count(ReadFile(file), '\n');
    INFO(library);
    CHECK(lines > 0);
    CHECK(lines <= kMaxLines);
  }
}

TEST_CASE("each source file that a page names exists") {
  size_t references = 0;
  for (const auto& page : Pages()) {
    for (const std::string& name : Matches(
             ReadFile(page), "`([a-z_]+(?:/[a-z_]+)+\\.(?:cc|h|ini|toml))`")) {
      INFO(page.string() << " names " << name);
      CHECK((std::filesystem::exists(SourceFolder() / name) ||
             std::filesystem::exists(SourceFolder() / kLibraries / name)));
      ++references;
    }
  }
  CHECK(references > 10);
}

}  // namespace
}  // namespace chestnutport::test
