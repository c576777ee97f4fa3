// A child process of a test and its output. The output goes to an anonymous
// file, so that the process never blocks on a full pipe.
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
  // Starts `binary` from the folder $CHESTNUTPORT_BIN. Throws on failure.
  Process(const std::string& binary, std::vector<std::string> arguments);
  // Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Sends SIGSTOP and waits until all threads are stopped.
  void Pause() const;
  // Waits for the process to exit. Returns the exit status, -1 if it was ended
  // by a signal, or nullopt if it still runs after `limit`.
  std::optional<int> WaitForExit(std::chrono::seconds limit);

  // Waits for a line that holds the field `name=`. Returns its first value, or
  // an empty string if there is none within `limit`.
  std::string WaitForField(
      const std::string& name,
      std::chrono::seconds limit = std::chrono::seconds(30));
  // Returns all output so far.
  const std::string& Output();
  // Returns the value of the field `name=` of each line that contains `text`,
  // in order. A field at the start of a line is not found.
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
