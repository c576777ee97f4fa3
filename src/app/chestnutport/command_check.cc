#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "commands.h"
#include "declarations_folder.h"
#include "settings/node_settings.h"

namespace chestnutport::cli {
namespace {

void CheckSettings(const std::string& path, settings::Problems& problems) {
  std::ifstream file(path);
  if (!file) {
    problems.push_back({path, 0, "", "", "", "a file to be read"});
    return;
  }
  std::stringstream text;
  text << file.rdbuf();
  settings::ParseNodeSettings(path, text.str(), problems);
}

void Print(const CommandContext& context, const settings::Problems& problems) {
  if (!context.json) {
    PrintProblems(problems);
    std::cout << (problems.empty() ? "no problem\n" : "");
    return;
  }
  auto lines = nlohmann::json::array();
  for (const settings::Problem& problem : problems)
    lines.push_back(problem.ToString());
  std::cout << nlohmann::json{{"problems", lines}}.dump(
                   -1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
}

}  // namespace

ExitCode Check(const CommandContext& context, const Arguments& args) {
  const bool has_settings = !context.settings_file.empty();
  if (args.size() > 1 || (args.empty() && !has_settings)) {
    std::cerr << HelpText("check");
    return kExitUsage;
  }
  settings::Problems problems;
  if (has_settings)
    CheckSettings(context.settings_file, problems);
  if (!args.empty())
    ReadFolder(args[0], problems);
  Print(context, problems);
  return problems.empty() ? kExitDone : kExitUsage;
}

}  // namespace chestnutport::cli
