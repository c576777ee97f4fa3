// One thread's loop over file descriptors, timers and posted tasks.
#ifndef NET_EVENT_LOOP_H_
#define NET_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"

namespace chestnutport::net {

// All functions are for the loop's own thread, except Post() and Stop(), which
// any thread may call.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using FdHandler = std::function<void(uint32_t epoll_events)>;
  using TimerId = uint64_t;  // Zero: no timer.

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop().
  void Run();
  void Stop();

  // Runs `task` on the loop's thread, in the order posted.
  void Post(Task task);

  // Runs `task` once, after the handlers of this round and before waiting.
  // `owner` names who may call it off.
  void Defer(const void* owner, Task task);
  // Drops every deferred task of `owner`.
  void CancelDeferred(const void* owner);

  TimerId CallAfter(base::Duration delay, Task task);
  TimerId CallAt(base::Instant when, Task task);
  // Harmless for a timer that ran, was cancelled, or is zero.
  void Cancel(TimerId timer);

  // Watches `fd` for `epoll_events`; a second call replaces the first.
  void Watch(int fd, uint32_t epoll_events, FdHandler handler);
  void Unwatch(int fd);

  // The time at which this round began: one reading for a whole round.
  base::Instant now() const { return now_; }

  // Returns the longest time since the last call in which the loop did not look
  // at its descriptors: in a round, or because a timer woke it late.
  base::Duration TakeLongestDelay();

 private:
  using TimerKey = std::pair<base::Instant, TimerId>;
  struct Watched {
    FdHandler handler;
    uint32_t generation = 0;
  };
  struct Deferred {
    const void* owner = nullptr;
    Task task;
  };

  void RunRound();
  int WaitMilliseconds() const;
  // Since when the earliest timer is due; zero if none is.
  base::Duration TimerDelay() const;
  void RunTimers();
  void RunPosted();
  void RunDeferred();

  int epoll_fd_;
  int wake_fd_;
  bool stopped_ = false;
  base::Instant now_;
  base::Duration longest_delay_{};
  TimerId last_timer_ = 0;
  std::map<TimerKey, Task> timers_;
  absl::flat_hash_map<TimerId, base::Instant> timer_times_;
  // Held by pointer so that a handler may unwatch itself while it runs.
  absl::flat_hash_map<int, std::unique_ptr<Watched>> watched_;
  std::vector<std::unique_ptr<Watched>> retired_;
  // Tells an event of a descriptor from one of an earlier descriptor of the
  // same number that was reported in the same round.
  uint32_t last_generation_ = 0;
  std::vector<Deferred> deferred_;
  std::vector<Deferred> running_;
  std::mutex posted_mutex_;
  std::vector<Task> posted_;
};

}  // namespace chestnutport::net

#endif  // NET_EVENT_LOOP_H_
