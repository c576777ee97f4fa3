// Tracks which of a reader's watches of the store is the current one.
#ifndef CONFIGURATION_CURRENT_WATCH_H_
#define CONFIGURATION_CURRENT_WATCH_H_

#include <cstdint>
#include <utility>

namespace chestnutport::configuration {

// The result of an abandoned watch still arrives at some time, and is ignored.
class CurrentWatch {
 public:
  // Starts a watch in place of any other. Returns its number.
  uint64_t Begin() {
    is_open_ = true;
    return ++last_;
  }
  // Called when watch `number` has ended. Returns whether it was the current
  // one.
  bool End(uint64_t number) {
    return number == last_ && std::exchange(is_open_, false);
  }
  // Abandons the current watch. Returns whether there was one.
  bool Abandon() { return std::exchange(is_open_, false); }

 private:
  uint64_t last_ = 0;
  bool is_open_ = false;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_CURRENT_WATCH_H_
