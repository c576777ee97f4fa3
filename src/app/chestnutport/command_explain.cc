#include <fstream>
#include <iostream>
#include <string>

#include "commands.h"
#include "telemetry/request_story.h"

namespace chestnutport::cli {

ExitCode Explain(const CommandContext& /*context*/, const Arguments& args) {
  if (args.size() < 2) {
    std::cerr << HelpText("explain");
    return kExitUsage;
  }
  telemetry::RequestStory story(args[0]);
  for (size_t i = 1; i < args.size(); ++i) {
    std::ifstream file(args[i]);
    if (!file) {
      std::cerr << "chestnutport: cannot read " << args[i] << "\n";
      return kExitUsage;
    }
    for (std::string line; std::getline(file, line);)
      story.Add(line);
  }
  for (const telemetry::StoryLine& line : story.Lines())
    std::cout << line.text << "\n";
  std::cout << "cause: " << story.Cause() << "\n";
  return kExitDone;
}

}  // namespace chestnutport::cli
