// Counts the allocations of the process. A test enables this by adding
// allocation_count.cc to its sources.
#ifndef SUPPORT_ALLOCATION_COUNT_H_
#define SUPPORT_ALLOCATION_COUNT_H_

#include <cstdint>

namespace chestnutport::test {

// Returns the number of calls of operator new so far, on all threads.
uint64_t AllocationCount();

}  // namespace chestnutport::test

#endif  // SUPPORT_ALLOCATION_COUNT_H_
