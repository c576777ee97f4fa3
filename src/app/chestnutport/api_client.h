// Client of a node's operators' API.
#ifndef CHESTNUTPORT_API_CLIENT_H_
#define CHESTNUTPORT_API_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "commands.h"
#include "exit_code.h"

namespace chestnutport::cli {

struct ApiAnswer {
  ExitCode exit_code = kExitUnreachable;
  nlohmann::json body;  // An object; empty if there is no readable answer.
};

// Makes one call and waits for its answer. A missing or unreadable answer is
// reported on standard error.
ApiAnswer CallApi(const CommandContext& context,
                  const std::string& method,
                  const std::string& target,
                  const std::string& body);

}  // namespace chestnutport::cli

#endif  // CHESTNUTPORT_API_CLIENT_H_
