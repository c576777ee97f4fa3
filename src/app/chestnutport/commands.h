// The commands that an operator gives.
#ifndef CHESTNUTPORT_COMMANDS_H_
#define CHESTNUTPORT_COMMANDS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/socket_address.h"
#include "base/time.h"
#include "exit_code.h"

namespace chestnutport::cli {

using Arguments = std::vector<std::string>;

struct CommandContext {
  base::SocketAddress node;
  std::string token;
  std::string settings_file;  // For check; empty: none.
  std::string service;        // For metrics; empty: all.
  std::string tenant;         // For metrics; empty: all.
  bool json = false;          // Print JSON in place of text.
  base::Duration wait{};      // For confirm: until in force everywhere.
};

struct Command {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  // `words` are the arguments, without the command's name.
  ExitCode (*run)(const CommandContext& context, const Arguments& args);
};

// All commands, in the order of the help.
std::span<const Command> AllCommands();

// The help of all commands, or of the one named.
std::string HelpText(std::string_view command = "");

// Runs the command named by the first of `words`, the others being its
// arguments; writes to standard output and error.
ExitCode RunCommand(const CommandContext& context, const Arguments& args);

ExitCode Check(const CommandContext& context, const Arguments& args);
ExitCode Plan(const CommandContext& context, const Arguments& args);
ExitCode Confirm(const CommandContext& context, const Arguments& args);
ExitCode History(const CommandContext& context, const Arguments& args);
ExitCode Metrics(const CommandContext& context, const Arguments& args);
ExitCode Status(const CommandContext& context, const Arguments& args);
ExitCode Servers(const CommandContext& context, const Arguments& args);
ExitCode Drain(const CommandContext& context, const Arguments& args);
ExitCode Explain(const CommandContext& context, const Arguments& args);
ExitCode Quarantine(const CommandContext& context, const Arguments& args);
ExitCode Release(const CommandContext& context, const Arguments& args);
ExitCode Evacuations(const CommandContext& context, const Arguments& args);
ExitCode Evacuate(const CommandContext& context, const Arguments& args);
ExitCode Readmit(const CommandContext& context, const Arguments& args);
ExitCode Undrain(const CommandContext& context, const Arguments& args);

}  // namespace chestnutport::cli

#endif  // CHESTNUTPORT_COMMANDS_H_
