#include "support/process_memory.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "absl/strings/str_cat.h"

namespace chestnutport::test {
namespace {

size_t StatusField(const Process& process, const std::string& name) {
  std::ifstream file(absl::StrCat("/proc/", process.pid(), "/status"));
  std::string word;
  size_t value = 0;
  while (file >> word) {
    if (word == name)
      file >> value;
  }
  return value;
}

}  // namespace

size_t PeakMemory(const Process& process) {
  return StatusField(process, "VmHWM:");
}

size_t ResidentMemory(const Process& process) {
  return StatusField(process, "VmRSS:");
}

size_t OpenDescriptors(const Process& process) {
  const std::filesystem::directory_iterator all(
      absl::StrCat("/proc/", process.pid(), "/fd"));
  return static_cast<size_t>(std::distance(begin(all), end(all)));
}

}  // namespace chestnutport::test
