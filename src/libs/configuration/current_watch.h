// Which of a reader's watches of the store is heard.
#ifndef CONFIGURATION_CURRENT_WATCH_H_
#define CONFIGURATION_CURRENT_WATCH_H_

#include <cstdint>
#include <utility>

namespace chestnutport::configuration {

// A watch that was given up still ends some time, and is not heard then.
class CurrentWatch {
 public:
  // A watch begins in place of any other. Returns its number.
  uint64_t Begin() {
    is_open_ = true;
    return ++last_;
  }
  // That watch has ended. Returns whether it is the one that is heard.
  bool End(uint64_t number) {
    return number == last_ && std::exchange(is_open_, false);
  }
  // Returns whether there was a watch to be given up.
  bool Abandon() { return std::exchange(is_open_, false); }

 private:
  uint64_t last_ = 0;
  bool is_open_ = false;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_CURRENT_WATCH_H_
