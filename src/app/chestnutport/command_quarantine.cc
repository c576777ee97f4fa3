#include <iostream>

#include "absl/strings/str_cat.h"
#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

// Returns the server crashes of a request as one line: the node of each, how
// long ago it happened and how long the request had run.
std::string FormatCrashes(const json& request) {
  std::string text;
  for (const json& end : request.at("ends")) {
    absl::StrAppend(&text, text.empty() ? "" : ", ",
                    end.at("node").get<std::string>(), " ",
                    end.at("ago").get<std::string>(), " ago after ",
                    end.at("ran").get<std::string>());
  }
  return text;
}

}  // namespace

ExitCode Quarantine(const CommandContext& context, const Arguments& args) {
  if (!args.empty()) {
    std::cerr << HelpText("quarantine");
    return kExitUsage;
  }
  const ApiAnswer answer = CallApi(context, "GET", "/v1/quarantine", "");
  if (!PrintJsonOrError(context, answer)) {
    json requests = answer.body.at("requests");
    for (json& request : requests)
      request["servers"] = FormatCrashes(request);
    std::cout << Table({{"FINGERPRINT", "fingerprint"},
                        {"VERDICT", "verdict"},
                        {"FOR", "for"},
                        {"SERVERS THAT ENDED", "servers"}},
                       requests);
  }
  return answer.exit_code;
}

ExitCode Release(const CommandContext& context, const Arguments& args) {
  if (args.size() != 1) {
    std::cerr << HelpText("release");
    return kExitUsage;
  }
  const ApiAnswer answer = CallApi(context, "POST", "/v1/release",
                                   json{{"fingerprint", args[0]}}.dump());
  if (!PrintJsonOrError(context, answer))
    std::cout << args[0] << " runs like any other request\n";
  return answer.exit_code;
}

}  // namespace chestnutport::cli
