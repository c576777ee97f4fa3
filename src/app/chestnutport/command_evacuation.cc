#include <iostream>

#include "absl/strings/str_cat.h"
#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

std::string ListOf(const json& data_centres) {
  std::string text;
  for (const json& name : data_centres)
    absl::StrAppend(&text, text.empty() ? "" : ", ", name.get<std::string>());
  return text.empty() ? "none" : text;
}

// Without a plan among the words, shows one; with it, confirms it.
ExitCode Change(const CommandContext& context,
                const std::string& command,
                const Words& words) {
  if (words.empty() || words.size() > 2) {
    std::cerr << HelpText(command);
    return kExitUsage;
  }
  json body = {{"data_centre", words[0]}, {"evacuated", command == "evacuate"}};
  if (words.size() > 1)
    body["plan"] = words[1];
  const ApiAnswer answer =
      CallApi(context, "POST", "/v1/evacuate", body.dump());
  if (PrintJsonOrError(context, answer))
    return answer.exit_code;
  if (words.size() > 1) {
    std::cout << "evacuated: " << ListOf(answer.body.at("data_centres"))
              << "\n";
    return answer.exit_code;
  }
  const auto plan = answer.body.at("plan").get<std::string>();
  std::cout << Table({{"SERVICE", "service"},
                      {"SERVERS NOW", "servers"},
                      {"AFTERWARDS", "servers_after"}},
                     answer.body.at("services"))
            << "Nothing is changed yet. To confirm:\n  chestnutport " << command
            << " " << words[0] << " " << plan << "\n";
  return answer.exit_code;
}

}  // namespace

ExitCode Evacuations(const CommandContext& context, const Words& words) {
  if (!words.empty()) {
    std::cerr << HelpText("evacuations");
    return kExitUsage;
  }
  const ApiAnswer answer = CallApi(context, "GET", "/v1/evacuations", "");
  if (!PrintJsonOrError(context, answer))
    std::cout << "evacuated: " << ListOf(answer.body.at("data_centres"))
              << "\n";
  return answer.exit_code;
}

ExitCode Evacuate(const CommandContext& context, const Words& words) {
  return Change(context, "evacuate", words);
}

ExitCode Readmit(const CommandContext& context, const Words& words) {
  return Change(context, "readmit", words);
}

}  // namespace chestnutport::cli
