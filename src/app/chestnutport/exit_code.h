// Exit codes of the operators' command line.
#ifndef CHESTNUTPORT_EXIT_CODE_H_
#define CHESTNUTPORT_EXIT_CODE_H_

namespace chestnutport::cli {

enum ExitCode {
  kExitDone = 0,
  kExitRefused = 1,        // The node refused; nothing was changed.
  kExitUsage = 2,          // The command line or a file is wrong.
  kExitUnreachable = 3,    // No node answered; nothing was changed.
  kExitUnknown = 4,        // It may have taken effect; see the history.
  kExitNotEverywhere = 5,  // Confirmed, but not yet in force on all nodes.
};

}  // namespace chestnutport::cli

#endif  // CHESTNUTPORT_EXIT_CODE_H_
