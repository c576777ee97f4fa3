// The memory and the descriptors of a process, as the system reports them.
#ifndef SUPPORT_PROCESS_MEMORY_H_
#define SUPPORT_PROCESS_MEMORY_H_

#include <cstddef>

#include "support/process.h"

namespace chestnutport::test {

// Return kilobytes.
size_t PeakMemory(const Process& process);
size_t ResidentMemory(const Process& process);

// Returns the number of open descriptors.
size_t OpenDescriptors(const Process& process);

}  // namespace chestnutport::test

#endif  // SUPPORT_PROCESS_MEMORY_H_
