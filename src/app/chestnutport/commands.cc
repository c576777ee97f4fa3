#include "commands.h"

#include <algorithm>
#include <array>
#include <exception>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "base/text.h"

namespace chestnutport::cli {
namespace {

constexpr std::array kCommands = {
    Command{"check", "[FOLDER]",
            "Checks a folder of declarations, and with --settings=FILE a "
            "node's settings. Needs no node.",
            &Check},
    Command{"plan", "FOLDER",
            "Shows what would change if the folder's declarations were "
            "confirmed, and a plan's identity. Changes nothing.",
            &Plan},
    Command{"confirm", "PLAN FOLDER",
            "Confirms a plan. With --wait=30s waits until all nodes have it. "
            "Repeating it is harmless.",
            &Confirm},
    Command{"history", "", "Shows who confirmed what, and when.", &History},
    Command{"metrics", "",
            "Draws the node's histograms; with --service=S or --tenant=T only "
            "theirs.",
            &Metrics},
    Command{"status", "", "Shows which nodes hold which revision.", &Status},
    Command{"servers", "", "Shows the servers that are announced.", &Servers},
    Command{"drain", "[NODE]",
            "Makes a node's server take no new work; NODE is its name or "
            "identity, by default the node that is asked.",
            &Drain},
    Command{"evacuate", "DATA-CENTRE [PLAN]",
            "Shows what is left of each service without a data centre's "
            "servers; with the plan that it shows, makes them take no new "
            "work.",
            &Evacuate},
    Command{"evacuations", "", "Shows the data centres that are evacuated.",
            &Evacuations},
    Command{"readmit", "DATA-CENTRE [PLAN]",
            "The same, to take an evacuation back.", &Readmit},
    Command{"explain", "REQUEST LOGFILE...",
            "Puts the log lines of one request from several nodes in order, "
            "and says why it ended as it did. Needs no node.",
            &Explain},
    Command{
        "quarantine", "",
        "Shows the requests that are suspected of ending servers or held in "
        "quarantine, and the servers that ended.",
        &Quarantine},
    Command{"release", "FINGERPRINT",
            "Takes a verdict on a request back, on all nodes. Repeating it is "
            "harmless.",
            &Release},
    Command{"tenants", "",
            "Shows each tenant's limit, how it is divided between the nodes, "
            "and what this node admitted and refused.",
            &Tenants},
    Command{"undrain", "[NODE]", "Takes a drain back.", &Undrain},
};

constexpr char kExitCodes[] =
    "Exit codes: 0 done; 1 refused, nothing was changed; 2 the command line "
    "or a file\nis wrong; 3 no node answered, nothing was changed; 4 it may "
    "have taken effect,\nsee history; 5 confirmed, but not yet in force on all "
    "nodes.\n";

const Command* Find(std::string_view name) {
  const auto* const found = std::ranges::find(kCommands, name, &Command::name);
  return found == kCommands.end() ? nullptr : found;
}

std::string Usage(const Command& command) {
  return absl::StrCat("  chestnutport ", base::AbslView(command.name),
                      command.arguments.empty() ? "" : " ",
                      base::AbslView(command.arguments), "\n      ",
                      base::AbslView(command.help), "\n");
}

}  // namespace

std::span<const Command> AllCommands() {
  return kCommands;
}

std::string HelpText(std::string_view command) {
  if (const Command* found = Find(command))
    return absl::StrCat(Usage(*found), "\n", kExitCodes);
  std::string text =
      "the operators' command. The token is read from CHESTNUTPORT_TOKEN.\n\n";
  for (const Command& each : kCommands)
    absl::StrAppend(&text, Usage(each));
  absl::StrAppend(&text,
                  "\n  --node=IP:PORT        a node's operators' address\n"
                  "  --output=text|json    how to print\n\n",
                  kExitCodes);
  return text;
}

ExitCode RunCommand(const CommandContext& context, const Arguments& args) {
  if (args[0] == "help") {
    std::cout << HelpText(args.size() > 1 ? args[1] : "");
    return kExitDone;
  }
  const Command* command = Find(args[0]);
  if (!command) {
    std::cerr << "chestnutport: unknown command '" << args[0]
              << "'; see chestnutport help\n";
    return kExitUsage;
  }
  try {
    return command->run(context, Arguments(args.begin() + 1, args.end()));
  } catch (const std::exception& error) {
    // The command may have been a write that took effect.
    std::cerr << "chestnutport: cannot read the node's answer: " << error.what()
              << "\n";
    return kExitUnknown;
  }
}

}  // namespace chestnutport::cli
