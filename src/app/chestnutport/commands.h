// The commands of the operators' command line.
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
  std::string settings_file;  // For check; may be empty.
  std::string service;        // For metrics; all if empty.
  std::string tenant;         // For metrics; all if empty.
  bool json = false;          // Print JSON instead of text.
  base::Duration wait{};  // For confirm: longest wait until all nodes have it.
};

struct Command {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  // `args` excludes the command's name.
  ExitCode (*run)(const CommandContext& context, const Arguments& args);
};

// Returns all commands in the order of the help text.
std::span<const Command> AllCommands();

// Returns the help text of `command`, or of all commands if there is no command
// of that name.
std::string HelpText(std::string_view command = "");

// Runs the command named by the first of `args`, which must not be empty, with
// the others as its arguments. Writes to standard output and error.
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
ExitCode Tenants(const CommandContext& context, const Arguments& args);
ExitCode Undrain(const CommandContext& context, const Arguments& args);

}  // namespace chestnutport::cli

#endif  // CHESTNUTPORT_COMMANDS_H_
