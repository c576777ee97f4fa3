// The files of the repository, for tests of the pages.
#ifndef DOCS_SOURCE_TREE_H_
#define DOCS_SOURCE_TREE_H_

#include <filesystem>
#include <string>
#include <vector>

namespace chestnutport::test {

// The folder named by CHESTNUTPORT_SOURCE.
std::filesystem::path SourceFolder();

std::string ReadFile(const std::filesystem::path& path);

// All files below `folder` whose names end with one of `endings`.
std::vector<std::filesystem::path> FilesBelow(
    const std::string& folder,
    const std::vector<std::string>& extensions);

// README.md, CONTRIBUTING.md, and all pages below docs.
std::vector<std::filesystem::path> Pages();

// What `pattern` matches in `text`: the first group, each time.
std::vector<std::string> Matches(const std::string& text,
                                 const std::string& pattern);

}  // namespace chestnutport::test

#endif  // DOCS_SOURCE_TREE_H_
