#include "source_tree.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace chestnutport::test {

std::filesystem::path SourceFolder() {
  const char* folder = std::getenv("CHESTNUTPORT_SOURCE");
  return folder ? folder : ".";
}

std::string ReadFile(const std::filesystem::path& path) {
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::vector<std::filesystem::path> FilesBelow(
    const std::string& folder,
    const std::vector<std::string>& extensions) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(SourceFolder() / folder)) {
    if (std::ranges::count(extensions, entry.path().extension().string()) > 0)
      files.push_back(entry.path());
  }
  std::ranges::sort(files);
  return files;
}

std::vector<std::filesystem::path> Pages() {
  auto pages = FilesBelow("docs", {".md"});
  pages.push_back(SourceFolder() / "README.md");
  pages.push_back(SourceFolder() / "CONTRIBUTING.md");
  return pages;
}

std::vector<std::string> Matches(const std::string& text,
                                 const std::string& pattern) {
  const std::regex expression(pattern);
  std::vector<std::string> found;
  for (std::sregex_iterator i(text.begin(), text.end(), expression), end;
       i != end; ++i) {
    found.push_back((*i)[1]);
  }
  return found;
}

}  // namespace chestnutport::test
