// Timers, watched descriptors and posted tasks, changed from within handlers.
#include "net/event_loop.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace chestnutport::net {
namespace {

using std::chrono::milliseconds;

class Pipe {
 public:
  Pipe() { REQUIRE(pipe2(fds_.data(), O_CLOEXEC | O_NONBLOCK) == 0); }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe() {
    close(fds_[0]);
    close(fds_[1]);
  }
  int reader() const { return fds_[0]; }
  int writer() const { return fds_[1]; }
  void Write() const { REQUIRE(write(fds_[1], "x", 1) == 1); }

 private:
  std::array<int, 2> fds_{};
};

TEST_CASE("an event loop runs what is due") {
  EventLoop loop;
  std::string seen;

  SECTION("timers run by time, not by order of call") {
    loop.CallAfter(milliseconds(2), [&] { loop.Stop(); });
    loop.CallAfter(milliseconds(1), [&] { seen += "b"; });
    loop.CallAfter(milliseconds(0), [&] { seen += "a"; });
    loop.Run();
    CHECK(seen == "ab");
  }

  SECTION("the longest delay between two looks at the descriptors is told") {
    constexpr milliseconds kBusy(30);
    loop.CallAfter(milliseconds(0), [&] {
      std::this_thread::sleep_for(kBusy);
      loop.Stop();
    });
    loop.Run();
    CHECK(loop.TakeLongestDelay() >= kBusy);
    CHECK(loop.TakeLongestDelay() == base::Duration::zero());
  }

  SECTION("a timer cancelled by one of the same round does not run") {
    const base::Instant due = base::Clock::now();
    EventLoop::TimerId second = 0;
    loop.CallAt(due, [&] { loop.Cancel(second); });
    second = loop.CallAt(due, [&] { seen += "cancelled"; });
    loop.CallAt(due, [&] { loop.Stop(); });
    loop.Run();
    loop.Cancel(second);
    CHECK(seen.empty());
  }

  SECTION("tasks that another thread posts run in their order") {
    std::thread poster([&] {
      for (const char c : std::string("abc"))
        loop.Post([&seen, c] { seen += c; });
      loop.Stop();
    });
    loop.Run();
    poster.join();
    CHECK(seen == "abc");
  }

  SECTION("deferred tasks of an owner can be called off, also while they run") {
    const int owner = 0;
    const int other = 0;
    loop.Defer(&other, [&] { loop.CancelDeferred(&owner); });
    loop.Defer(&owner, [&] { seen += "cancelled"; });
    loop.Defer(&other, [&] { loop.Stop(); });
    loop.Run();
    CHECK(seen.empty());
  }
}

TEST_CASE("handlers may change what is watched while events are handed out") {
  EventLoop loop;
  Pipe one;
  Pipe two;
  one.Write();
  two.Write();
  int calls = 0;

  SECTION("a handler unwatches itself and the other one") {
    const auto handler = [&](uint32_t) {
      ++calls;
      loop.Unwatch(one.reader());
      loop.Unwatch(two.reader());
      loop.Stop();
    };
    loop.Watch(one.reader(), EPOLLIN, handler);
    loop.Watch(two.reader(), EPOLLIN, handler);
    loop.Run();
    CHECK(calls == 1);
  }

  SECTION("a handler replaces itself") {
    loop.Watch(one.reader(), EPOLLIN, [&](uint32_t) {
      loop.Watch(one.reader(), EPOLLIN, [&](uint32_t) {
        ++calls;
        loop.Unwatch(one.reader());
        loop.Stop();
      });
    });
    loop.Run();
    CHECK(calls == 1);
  }

  SECTION("an event of a closed descriptor is not told to its successor") {
    Pipe quiet;
    // Whichever handler is first gives the other's number to a quiet pipe.
    const auto handler = [&](const Pipe& other) {
      loop.Unwatch(other.reader());
      dup2(quiet.reader(), other.reader());
      loop.Watch(other.reader(), EPOLLIN, [&](uint32_t) { ++calls; });
      loop.Unwatch(one.reader() == other.reader() ? two.reader()
                                                  : one.reader());
      loop.Stop();
    };
    loop.Watch(one.reader(), EPOLLIN, [&](uint32_t) { handler(two); });
    loop.Watch(two.reader(), EPOLLIN, [&](uint32_t) { handler(one); });
    loop.Run();
    CHECK(calls == 0);
  }
}

}  // namespace
}  // namespace chestnutport::net
