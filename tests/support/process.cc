#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include "support/wait.h"

extern char** environ;

namespace chestnutport::test {

Process::Process(const std::string& binary,
                 std::vector<std::string> arguments) {
  const char* folder = std::getenv("CHESTNUTPORT_BIN");
  const std::string path = std::string(folder ? folder : ".") + "/" + binary;
  output_fd_ = memfd_create("output", MFD_CLOEXEC);
  if (output_fd_ < 0)
    throw std::runtime_error("memfd_create");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output_fd_, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, output_fd_, STDERR_FILENO);
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  const int error =
      posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::runtime_error("cannot start " + path);
}

Process::~Process() {
  if (!exit_status_) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(output_fd_);
}

void Process::Signal(int signal) const {
  if (!exit_status_)
    kill(pid_, signal);
}

void Process::Pause() const {
  Signal(SIGSTOP);
  siginfo_t state{};
  waitid(P_PID, static_cast<id_t>(pid_), &state, WSTOPPED | WNOWAIT);
}

std::optional<int> Process::WaitForExit(std::chrono::seconds limit) {
  WaitUntil(
      [&] {
        int status = 0;
        if (!exit_status_ && waitpid(pid_, &status, WNOHANG) == pid_)
          exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        return exit_status_.has_value();
      },
      limit);
  return exit_status_;
}

std::string Process::WaitForField(const std::string& name,
                                  std::chrono::seconds limit) {
  const std::string wanted = name + "=";
  std::string value;
  WaitUntil(
      [&] {
        ReadMore();
        for (size_t at = output_.find(wanted); at != std::string::npos;
             at = output_.find(wanted, at + 1)) {
          const bool starts =
              at == 0 || output_[at - 1] == ' ' || output_[at - 1] == '\n';
          const size_t end = output_.find_first_of(" \n", at);
          if (!starts || end == std::string::npos)
            continue;
          value = output_.substr(at + wanted.size(), end - at - wanted.size());
          return true;
        }
        return false;
      },
      limit);
  return value;
}

const std::string& Process::Output() {
  ReadMore();
  return output_;
}

std::vector<std::string> Process::FieldValues(const std::string& text,
                                              const std::string& name) {
  const std::string wanted = " " + name + "=";
  std::vector<std::string> values;
  std::istringstream lines(Output());
  for (std::string line; std::getline(lines, line);) {
    const size_t at = line.find(wanted);
    if (line.find(text) == std::string::npos || at == std::string::npos)
      continue;
    const size_t begin = at + wanted.size();
    values.push_back(line.substr(begin, line.find(' ', begin) - begin));
  }
  return values;
}

void Process::ReadMore() {
  char buffer[16384];
  ssize_t size = 0;
  while ((size = pread(output_fd_, buffer, sizeof(buffer),
                       static_cast<off_t>(output_.size()))) > 0) {
    output_.append(buffer, static_cast<size_t>(size));
  }
}

}  // namespace chestnutport::test
