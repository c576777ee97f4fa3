#include <chrono>
#include <iostream>
#include <thread>

#include "api_client.h"
#include "commands.h"
#include "configuration/plan.h"
#include "declarations_folder.h"
#include "output.h"

namespace chestnutport::cli {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval(100);

bool IsInForceEverywhere(const json& revisions, uint64_t revision) {
  for (const json& node : revisions.at("nodes")) {
    if (!node.at("revision").is_number() ||
        node.at("revision").get<uint64_t>() < revision) {
      return false;
    }
  }
  return true;
}

ExitCode WaitUntilInForce(const CommandContext& context, uint64_t revision) {
  const base::Instant start = base::Clock::now();
  while (true) {
    const ApiAnswer revisions = CallApi(context, "GET", "/v1/revisions", "");
    const base::Duration taken = base::Clock::now() - start;
    if (revisions.exit_code == kExitDone &&
        IsInForceEverywhere(revisions.body, revision)) {
      if (!context.json) {
        std::cout << "In force on all " << revisions.body.at("nodes").size()
                  << " nodes after "
                  << std::chrono::duration<double>(taken).count() << " s\n";
      }
      return kExitDone;
    }
    if (taken > context.wait) {
      std::cerr << "chestnutport: not yet in force on all nodes; see status\n";
      return kExitNotEverywhere;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

ExitCode Confirm(const CommandContext& context, const Arguments& args) {
  if (args.size() != 2 || !configuration::BaseRevision(args[0])) {
    std::cerr << HelpText("confirm");
    return kExitUsage;
  }
  settings::Problems problems;
  const auto texts = ReadFolder(args[1], problems);
  PrintProblems(problems);
  if (!problems.empty())
    return kExitUsage;
  const json body = {{"plan", args[0]}, {"services", texts}};
  const ApiAnswer answer = CallApi(context, "POST", "/v1/confirm", body.dump());
  if (!PrintJsonOrError(context, answer)) {
    const bool again = answer.body.at("again").get<bool>();
    std::cout << (again ? "Had been confirmed: revision "
                        : "Confirmed: revision ")
              << answer.body.at("revision") << "\n";
  }
  if (answer.exit_code != kExitDone || context.wait == base::Duration::zero())
    return answer.exit_code;
  return WaitUntilInForce(context, answer.body.at("revision").get<uint64_t>());
}

}  // namespace chestnutport::cli
