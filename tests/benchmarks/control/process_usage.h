// Resource usage of this process as counted by the kernel.
#ifndef CONTROL_PROCESS_USAGE_H_
#define CONTROL_PROCESS_USAGE_H_

#include <chrono>
#include <cstddef>

namespace chestnutport::bench {

std::chrono::duration<double> ProcessorTime();
size_t ResidentBytes();

}  // namespace chestnutport::bench

#endif  // CONTROL_PROCESS_USAGE_H_
