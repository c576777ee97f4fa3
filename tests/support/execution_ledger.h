// The requests that a server stand-in recorded as run.
#ifndef SUPPORT_EXECUTION_LEDGER_H_
#define SUPPORT_EXECUTION_LEDGER_H_

#include <filesystem>
#include <map>
#include <string>

namespace chestnutport::test {

struct Executions {
  int started = 0;
  int finished = 0;
};

// Maps request ids to executions. Each server appends one line to its file when
// a request starts and one when it finishes, so that the record survives a
// kill.
using ExecutionLedger = std::map<std::string, Executions>;

// Reads the files of all servers in `folder`, including stopped ones.
ExecutionLedger ReadLedger(const std::filesystem::path& folder);

// Returns the number of requests that `file` records as started.
size_t CountStarted(const std::filesystem::path& file);

}  // namespace chestnutport::test

#endif  // SUPPORT_EXECUTION_LEDGER_H_
