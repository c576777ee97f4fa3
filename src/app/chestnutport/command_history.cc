#include <iostream>

#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {

ExitCode History(const CommandContext& context, const Arguments& args) {
  if (!args.empty()) {
    std::cerr << HelpText("history");
    return kExitUsage;
  }
  const ApiAnswer answer = CallApi(context, "GET", "/v1/history", "");
  if (!PrintJsonOrError(context, answer)) {
    std::cout << Table({{"REVISION", "revision"},
                        {"AT", "at"},
                        {"BY", "by"},
                        {"SERVICES", "services"},
                        {"OVERRULED", "overruled"},
                        {"PLAN", "plan"}},
                       answer.body.at("confirmations"));
  }
  return answer.exit_code;
}

}  // namespace chestnutport::cli
