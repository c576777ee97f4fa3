#include <iostream>

#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

ExitCode ChangeDrain(const CommandContext& context,
                     const std::string& command,
                     const Arguments& args) {
  if (args.size() > 1) {
    std::cerr << HelpText(command);
    return kExitUsage;
  }
  const json body = args.empty() ? json::object() : json{{"node", args[0]}};
  const ApiAnswer answer =
      CallApi(context, "POST", "/v1/" + command, body.dump());
  if (!PrintJsonOrError(context, answer)) {
    const bool draining = answer.body.at("draining").get<bool>();
    std::cout << answer.body.at("name").get<std::string>()
              << (draining ? " takes no new work\n" : " takes new work\n");
  }
  return answer.exit_code;
}

}  // namespace

ExitCode Drain(const CommandContext& context, const Arguments& args) {
  return ChangeDrain(context, "drain", args);
}

ExitCode Undrain(const CommandContext& context, const Arguments& args) {
  return ChangeDrain(context, "undrain", args);
}

}  // namespace chestnutport::cli
