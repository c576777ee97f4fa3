// A child process of a test, and the lines it writes. They go to a file without
// a name, so that a process never waits for the test to read them.
#ifndef SUPPORT_PROCESS_H_
#define SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace chestnutport::test {

class Process {
 public:
  // Starts `binary`, a name under the build's bin folder.
  Process(const std::string& binary, std::vector<std::string> arguments);
  // Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Waits for the end; the exit status, or nothing if it still runs.
  std::optional<int> WaitForExit(std::chrono::seconds limit);

  // Waits for a line with ` name=` or at its beginning `name=`; its value, or
  // an empty text if no such line came.
  std::string WaitForField(
      const std::string& name,
      std::chrono::seconds limit = std::chrono::seconds(30));
  // Everything that was written until now.
  const std::string& Output();
  // Every value of ` name=` in lines that hold `text`, in order.
  std::vector<std::string> FieldValues(const std::string& text,
                                       const std::string& name);

  pid_t pid() const { return pid_; }

 private:
  void ReadMore();

  pid_t pid_ = -1;
  int output_fd_ = -1;
  std::string output_;
  std::optional<int> exit_status_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_PROCESS_H_
