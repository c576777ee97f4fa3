// The operators' command line program.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "base/encoding.h"
#include "commands.h"

ABSL_FLAG(std::string, node, "127.0.0.1:7403", "A node's operators' address.");
ABSL_FLAG(std::string, output, "text", "text or json.");
ABSL_FLAG(std::string, settings, "", "check: a node's file of settings.");
ABSL_FLAG(std::string, service, "", "metrics: only this service.");
ABSL_FLAG(std::string, tenant, "", "metrics: only this tenant.");
ABSL_FLAG(std::string,
          wait,
          "",
          "confirm: how long to wait until all nodes have it, such as 30s.");

namespace {

namespace base = chestnutport::base;
namespace cli = chestnutport::cli;

constexpr std::string_view kFlags[] = {"node",     "output", "service",
                                       "settings", "tenant", "wait"};

int UsageError(const std::string& what) {
  std::cerr << "chestnutport: " << what << "; see chestnutport help\n";
  return cli::kExitUsage;
}

// Unknown flags are rejected before Abseil parses them: Abseil would exit with
// 1, which scripts interpret as a refusal by the node.
bool IsKnownFlag(std::string_view word) {
  if (!word.starts_with("--") || word.starts_with("--help"))
    return true;
  const size_t equals = word.find('=');
  return equals != std::string_view::npos &&
         std::ranges::count(kFlags, word.substr(2, equals - 2)) > 0;
}

}  // namespace

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    // Abseil's own help would add text about unrelated flags.
    if (std::string_view(argv[i]) == "--help") {
      std::cout << cli::HelpText("");
      return cli::kExitDone;
    }
    if (!IsKnownFlag(argv[i]))
      return UsageError(std::string(argv[i]) + ": accepted: --NAME=VALUE");
  }
  absl::SetProgramUsageMessage(cli::HelpText());
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  const cli::Arguments args(rest.begin() + 1, rest.end());
  if (args.empty())
    return UsageError("no command");
  cli::CommandContext context;
  const auto node = base::SocketAddress::Parse(absl::GetFlag(FLAGS_node));
  if (!node)
    return UsageError("--node: accepted: an IPv4 address and port");
  context.node = *node;
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json")
    return UsageError("--output: accepted: text or json");
  context.json = output == "json";
  context.settings_file = absl::GetFlag(FLAGS_settings);
  context.service = absl::GetFlag(FLAGS_service);
  context.tenant = absl::GetFlag(FLAGS_tenant);
  const std::string wait = absl::GetFlag(FLAGS_wait);
  if (!wait.empty()) {
    const auto duration = base::ParseDuration(wait);
    if (!duration)
      return UsageError("--wait: accepted: a duration, such as 30s");
    context.wait = *duration;
  }
  const char* token = std::getenv("CHESTNUTPORT_TOKEN");
  context.token = token ? token : "";
  return cli::RunCommand(context, args);
}
