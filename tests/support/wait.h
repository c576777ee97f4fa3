// Waits for a condition in place of a fixed sleep.
#ifndef SUPPORT_WAIT_H_
#define SUPPORT_WAIT_H_

#include <chrono>
#include <functional>

namespace chestnutport::test {

// Polls `condition` until it holds or `limit` has passed. Returns whether it
// held.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

}  // namespace chestnutport::test

#endif  // SUPPORT_WAIT_H_
