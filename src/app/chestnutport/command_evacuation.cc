#include <iostream>

#include "absl/strings/str_cat.h"
#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

std::string JoinNames(const json& data_centres) {
  std::string text;
  for (const json& name : data_centres)
    absl::StrAppend(&text, text.empty() ? "" : ", ", name.get<std::string>());
  return text.empty() ? "none" : text;
}

// Shows a plan, or confirms the plan in `args` if there is one.
ExitCode PlanOrConfirm(const CommandContext& context,
                       const std::string& command,
                       const Arguments& args) {
  if (args.empty() || args.size() > 2) {
    std::cerr << HelpText(command);
    return kExitUsage;
  }
  json body = {{"data_centre", args[0]}, {"evacuated", command == "evacuate"}};
  if (args.size() > 1)
    body["plan"] = args[1];
  const ApiAnswer answer =
      CallApi(context, "POST", "/v1/evacuate", body.dump());
  if (PrintJsonOrError(context, answer))
    return answer.exit_code;
  if (args.size() > 1) {
    std::cout << "evacuated: " << JoinNames(answer.body.at("data_centres"))
              << "\n";
    return answer.exit_code;
  }
  const auto plan = answer.body.at("plan").get<std::string>();
  std::cout << Table({{"SERVICE", "service"},
                      {"SERVERS NOW", "servers"},
                      {"AFTERWARDS", "servers_after"}},
                     answer.body.at("services"))
            << "Nothing is changed yet. To confirm:\n  chestnutport " << command
            << " " << args[0] << " " << plan << "\n";
  return answer.exit_code;
}

}  // namespace

ExitCode Evacuations(const CommandContext& context, const Arguments& args) {
  if (!args.empty()) {
    std::cerr << HelpText("evacuations");
    return kExitUsage;
  }
  const ApiAnswer answer = CallApi(context, "GET", "/v1/evacuations", "");
  if (!PrintJsonOrError(context, answer))
    std::cout << "evacuated: " << JoinNames(answer.body.at("data_centres"))
              << "\n";
  return answer.exit_code;
}

ExitCode Evacuate(const CommandContext& context, const Arguments& args) {
  return PlanOrConfirm(context, "evacuate", args);
}

ExitCode Readmit(const CommandContext& context, const Arguments& args) {
  return PlanOrConfirm(context, "readmit", args);
}

}  // namespace chestnutport::cli
