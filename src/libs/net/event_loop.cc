#include "net/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace chestnutport::net {
namespace {

constexpr int kEventsPerRound = 64;
constexpr std::chrono::milliseconds kLongestWait(1000);
constexpr int kGenerationShift = 32;

uint64_t ToEventData(int fd, uint32_t generation) {
  return static_cast<uint64_t>(generation) << kGenerationShift |
         static_cast<uint32_t>(fd);
}

}  // namespace

EventLoop::EventLoop()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      now_(base::Clock::now()) {
  Watch(wake_fd_, EPOLLIN, [this](uint32_t) { RunPosted(); });
}

EventLoop::~EventLoop() {
  close(wake_fd_);
  close(epoll_fd_);
}

void EventLoop::Run() {
  stopped_ = false;
  while (!stopped_)
    RunRound();
}

void EventLoop::Stop() {
  Post([this] { stopped_ = true; });
}

void EventLoop::Post(Task task) {
  {
    const std::lock_guard lock(posted_mutex_);
    posted_.push_back(std::move(task));
  }
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(wake_fd_, &one, sizeof(one));
}

void EventLoop::Defer(const void* owner, Task task) {
  deferred_.push_back({owner, std::move(task)});
}

void EventLoop::CancelDeferred(const void* owner) {
  for (auto* tasks : {&deferred_, &running_}) {
    for (Deferred& deferred : *tasks) {
      if (deferred.owner == owner)
        deferred.owner = nullptr;
    }
  }
}

EventLoop::TimerId EventLoop::CallAfter(base::Duration delay, Task task) {
  return CallAt(base::Clock::now() + delay, std::move(task));
}

EventLoop::TimerId EventLoop::CallAt(base::Instant when, Task task) {
  const TimerId timer = ++last_timer_;
  timers_.emplace(TimerKey(when, timer), std::move(task));
  timer_times_.emplace(timer, when);
  return timer;
}

void EventLoop::Cancel(TimerId timer) {
  const auto found = timer_times_.find(timer);
  if (found == timer_times_.end())
    return;
  timers_.erase(TimerKey(found->second, timer));
  timer_times_.erase(found);
}

void EventLoop::Watch(int fd, uint32_t epoll_events, FdHandler handler) {
  auto& slot = watched_[fd];
  const int operation = slot ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (slot)
    retired_.push_back(std::move(slot));
  slot = std::make_unique<Watched>();
  slot->handler = std::move(handler);
  slot->generation = ++last_generation_;
  epoll_event event{};
  event.events = epoll_events;
  event.data.u64 = ToEventData(fd, slot->generation);
  // The descriptor may have been closed and reused since it was watched.
  if (epoll_ctl(epoll_fd_, operation, fd, &event) != 0)
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::Unwatch(int fd) {
  const auto found = watched_.find(fd);
  if (found == watched_.end())
    return;
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  retired_.push_back(std::move(found->second));
  watched_.erase(found);
}

void EventLoop::RunRound() {
  std::array<epoll_event, kEventsPerRound> events;
  const int count =
      epoll_wait(epoll_fd_, events.data(), kEventsPerRound, WaitMilliseconds());
  now_ = base::Clock::now();
  longest_delay_ = std::max(longest_delay_, TimerDelay());
  for (int i = 0; i < count; ++i) {
    const uint64_t data = events[i].data.u64;
    const auto found = watched_.find(static_cast<int>(data & UINT32_MAX));
    if (found == watched_.end() ||
        found->second->generation != data >> kGenerationShift) {
      continue;
    }
    Watched& watched = *found->second;
    watched.handler(events[i].events);
  }
  RunTimers();
  RunDeferred();
  retired_.clear();
  longest_delay_ = std::max(longest_delay_, base::Clock::now() - now_);
}

base::Duration EventLoop::TakeLongestDelay() {
  return std::exchange(longest_delay_, {});
}

base::Duration EventLoop::TimerDelay() const {
  if (timers_.empty())
    return {};
  return std::max<base::Duration>(now_ - timers_.begin()->first.first, {});
}

int EventLoop::WaitMilliseconds() const {
  if (!deferred_.empty())
    return 0;
  if (timers_.empty())
    return static_cast<int>(kLongestWait.count());
  const auto wait = timers_.begin()->first.first - base::Clock::now();
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
  return static_cast<int>(
      std::clamp(rounded, std::chrono::milliseconds(0), kLongestWait).count());
}

void EventLoop::RunTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    auto node = timers_.extract(timers_.begin());
    timer_times_.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::RunPosted() {
  uint64_t ignored = 0;
  [[maybe_unused]] const ssize_t size =
      read(wake_fd_, &ignored, sizeof(ignored));
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(posted_mutex_);
    tasks.swap(posted_);
  }
  for (Task& task : tasks)
    task();
}

void EventLoop::RunDeferred() {
  // A deferred task may defer another: that one runs in the next round.
  running_.swap(deferred_);
  for (size_t i = 0; i < running_.size(); ++i) {
    if (running_[i].owner)
      running_[i].task();
  }
  running_.clear();
}

}  // namespace chestnutport::net
