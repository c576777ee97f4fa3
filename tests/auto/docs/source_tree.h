// Access to the files of the repository, for tests of the documentation.
#ifndef DOCS_SOURCE_TREE_H_
#define DOCS_SOURCE_TREE_H_

#include <filesystem>
#include <string>
#include <vector>

namespace chestnutport::test {

// Returns the folder named by CHESTNUTPORT_SOURCE, or "." if it is not set.
std::filesystem::path SourceFolder();

std::string ReadFile(const std::filesystem::path& path);

// Returns all files below `folder` that have one of `extensions`, sorted.
std::vector<std::filesystem::path> FilesBelow(
    const std::string& folder,
    const std::vector<std::string>& extensions);

// Returns README.md, CONTRIBUTING.md and all Markdown files below docs.
std::vector<std::filesystem::path> Pages();

// Returns the first group of each match of `pattern` in `text`.
std::vector<std::string> Matches(const std::string& text,
                                 const std::string& pattern);

}  // namespace chestnutport::test

#endif  // DOCS_SOURCE_TREE_H_
