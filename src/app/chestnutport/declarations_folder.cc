#include "declarations_folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "declarations/checker.h"

namespace chestnutport::cli {
namespace {

using declarations::DeclarationFile;

std::vector<std::filesystem::path> ListFiles(const std::string& folder,
                                             settings::Problems& problems) {
  std::error_code error;
  std::filesystem::directory_iterator files(folder, error);
  std::vector<std::filesystem::path> paths;
  if (error) {
    problems.push_back({folder, 0, "", "", "", "a folder of .ini files"});
    return paths;
  }
  for (const auto& entry : files) {
    if (entry.path().extension() == ".ini")
      paths.push_back(entry.path());
  }
  std::ranges::sort(paths);
  return paths;
}

}  // namespace

declarations::DeclarationTexts ReadFolder(const std::string& folder,
                                          settings::Problems& problems) {
  std::vector<DeclarationFile> files;
  for (const auto& path : ListFiles(folder, problems)) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
      problems.push_back({path.string(), 0, "", "", "", "a file to be read"});
    files.push_back({path.string(), text.str()});
  }
  return declarations::CheckDeclarations(files, problems);
}

void PrintProblems(const settings::Problems& problems) {
  for (const settings::Problem& problem : problems)
    std::cerr << problem.ToString() << "\n";
}

}  // namespace chestnutport::cli
