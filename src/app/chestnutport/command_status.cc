#include <iostream>

#include "api_client.h"
#include "commands.h"
#include "output.h"

namespace chestnutport::cli {

ExitCode Status(const CommandContext& context, const Arguments& args) {
  if (!args.empty()) {
    std::cerr << HelpText("status");
    return kExitUsage;
  }
  const ApiAnswer answer = CallApi(context, "GET", "/v1/revisions", "");
  if (!PrintJsonOrError(context, answer)) {
    const auto& nodes = answer.body.at("nodes");
    std::cout << Table({{"NAME", "name"},
                        {"DATA CENTRE", "data_centre"},
                        {"REVISION", "revision"},
                        {"NODE", "node"}},
                       nodes)
              << "\nRevision " << answer.body.at("revision")
              << " is in force on " << answer.body.at("current") << " of "
              << nodes.size() << " nodes; " << answer.body.at("silent")
              << " did not answer.\n";
  }
  return answer.exit_code;
}

}  // namespace chestnutport::cli
