#include <iostream>

#include "api_client.h"
#include "commands.h"
#include "declarations_folder.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

void PrintPlan(const json& plan, const std::string& folder) {
  const auto id = plan.at("plan").get<std::string>();
  std::cout << "Plan " << id << " on revision " << plan.at("base_revision")
            << "\n\n";
  if (plan.at("changes").empty()) {
    std::cout << "Nothing would change.\n";
    return;
  }
  std::cout << Table({{"KIND", "kind"},
                      {"SERVICE", "service"},
                      {"SECTION", "section"},
                      {"KEY", "key"},
                      {"BEFORE", "before"},
                      {"AFTER", "after"}},
                     plan.at("changes"));
  json touches = plan.at("touches");
  for (json& touch : touches) {
    if (touch.at("tenants").empty())
      touch["tenants"] = "all";
  }
  std::cout << "\n"
            << Table({{"TOUCHES", "service"},
                      {"SERVERS", "servers"},
                      {"TENANTS", "tenants"}},
                     touches)
            << "\nNothing takes effect until: chestnutport confirm " << id
            << " " << folder << "\n";
}

}  // namespace

ExitCode Plan(const CommandContext& context, const Arguments& args) {
  if (args.size() != 1) {
    std::cerr << HelpText("plan");
    return kExitUsage;
  }
  settings::Problems problems;
  const auto texts = ReadFolder(args[0], problems);
  PrintProblems(problems);
  if (!problems.empty())
    return kExitUsage;
  const json body = {{"services", texts}};
  const ApiAnswer answer = CallApi(context, "POST", "/v1/plan", body.dump());
  if (!PrintJsonOrError(context, answer))
    PrintPlan(answer.body, args[0]);
  // Planning changes nothing, even if its outcome is unknown.
  return answer.exit_code == kExitUnknown ? kExitUnreachable : answer.exit_code;
}

}  // namespace chestnutport::cli
