// Virtual time: runs events in order of time, then of creation.
#ifndef DECISIONS_EVENT_QUEUE_H_
#define DECISIONS_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/time.h"

namespace chestnutport::bench {

class EventQueue {
 public:
  using Action = std::function<void()>;

  base::Instant now() const { return now_; }

  void At(base::Instant when, Action action) {
    events_.push({when, ++last_, std::move(action)});
  }
  void After(base::Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }

  // Runs events until the queue is empty.
  void Run() {
    while (!events_.empty()) {
      // The queue is ordered by time and number only, so moving the action out
      // does not affect the order.
      Event& next = const_cast<Event&>(events_.top());
      now_ = next.when;
      Action action = std::move(next.action);
      events_.pop();
      action();
    }
  }

 private:
  struct Event {
    base::Instant when;
    uint64_t number;
    Action action;

    bool operator<(const Event& other) const {
      return std::pair(other.when, other.number) < std::pair(when, number);
    }
  };

  base::Instant now_{};
  uint64_t last_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_EVENT_QUEUE_H_
