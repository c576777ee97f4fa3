// The daemon: runs the node next to each server.
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "memory/body_builder.h"
#include "node/node.h"
#include "platform/hosted_adapters.h"
#include "settings/node_settings.h"
#include "settings/settings_file.h"
#include "telemetry/log.h"

ABSL_FLAG(std::string, settings, "", "File of the node's settings (INI).");

namespace {

namespace settings = chestnutport::settings;
namespace telemetry = chestnutport::telemetry;

constexpr int kExitDone = 0;
constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;

chestnutport::node::Adapters AdaptersFor(
    const settings::NodeSettings& node_settings) {
  if (node_settings.adapter == settings::AdapterKind::kHosted)
    return chestnutport::platform::HostedAdapters(node_settings);
  return chestnutport::node::NativeAdapters(node_settings.fleet);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string help =
      "runs one chestnutport node\n\n  chestnutportd --settings=node.ini\n\n"
      "The file's settings:\n" +
      settings::SettingsHelp();
  // Abseil's own help would add text about unrelated flags.
  if (argc > 1 && std::string_view(argv[1]) == "--help") {
    std::cout << help;
    return kExitDone;
  }
  absl::SetProgramUsageMessage(help);
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  chestnutport::memory::AllocateLargeBlocksApart();
  const std::string path = absl::GetFlag(FLAGS_settings);
  settings::Problems problems;
  const auto node_settings = settings::ReadNodeSettings(path, problems);
  for (const settings::Problem& problem : problems)
    std::cerr << problem.ToString() << "\n";
  if (!problems.empty())
    return kExitSettings;
  const telemetry::LogSession log(node_settings.name, telemetry::Level::kInfo,
                                  std::cout);
  chestnutport::node::Node node(node_settings, AdaptersFor(node_settings),
                                path);
  const auto started = node.Start();
  if (!started) {
    std::cerr << "chestnutportd: cannot listen: " << started.error().message()
              << "\n";
    return kExitListen;
  }
  node.Run();
  return 0;
}
