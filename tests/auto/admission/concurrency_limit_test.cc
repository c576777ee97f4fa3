// Guards against a concurrency limit that does not follow the capacity of the
// server: requests then queue inside the server, or slots stay unused.
#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <random>

#include "admission/concurrency_limit.h"
#include "base/random.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

constexpr int kSlots = 12;
constexpr double kServiceSeconds = 0.01;

// A server with more load than it can serve. It runs `usable` requests
// concurrently; the others queue inside it.
class OverloadedServer {
 public:
  void Run(ConcurrencyLimit& limit, Duration time) {
    const Instant end = now_ + time;
    while (now_ < end) {
      while (in_flight_ < limit.Limit(now_)) {
        ++in_flight_;
        queued_inside_.push(now_);
      }
      while (!queued_inside_.empty() && static_cast<int>(ends_.size()) < usable)
        StartOne();
      const auto [end_at, given_at] = ends_.top();
      ends_.pop();
      now_ = end_at;
      --in_flight_;
      ++served;
      limit.OnServed(given_at, now_ - given_at, true, now_);
      limit_sum += limit.Limit(now_);
    }
  }

  // Returns the mean limit over `time`, including trials.
  double MeanLimit(ConcurrencyLimit& limit, Duration time) {
    const int served_before = served;
    limit_sum = 0;
    Run(limit, time);
    return limit_sum / (served - served_before);
  }

  Instant now() const { return now_; }

  int usable = kSlots;
  double slowness = 1;
  int served = 0;
  double limit_sum = 0;

 private:
  using End = std::pair<Instant, Instant>;

  void StartOne() {
    const Seconds time(lognormal_(random_) * slowness * kServiceSeconds);
    ends_.emplace(now_ + std::chrono::duration_cast<Duration>(time),
                  queued_inside_.front());
    queued_inside_.pop();
  }

  Instant now_{std::chrono::hours(1)};
  int in_flight_ = 0;
  std::queue<Instant> queued_inside_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  base::Random random_{3};
  std::lognormal_distribution<double> lognormal_{0, 0.5};
};

TEST_CASE("the limit follows the capacity of the server") {
  ConcurrencyLimit limit(kSlots);
  OverloadedServer server;
  CHECK(server.MeanLimit(limit, seconds(20)) >= 11);

  SECTION("the limit does not fall while service times are normal") {
    int least = kSlots;
    for (int i = 0; i < 3000; ++i) {
      server.Run(limit, milliseconds(20));
      least = std::min(least, limit.Limit(server.now()));
    }
    CHECK(least == kSlots);
  }

  SECTION("it falls when a neighbour takes half the slots, and recovers") {
    server.usable = kSlots / 2;
    server.Run(limit, seconds(1));
    CHECK(server.MeanLimit(limit, seconds(10)) <= 8);
    CHECK(server.MeanLimit(limit, seconds(10)) >= 6);
    server.usable = kSlots;
    server.Run(limit, seconds(1));
    CHECK(server.MeanLimit(limit, seconds(10)) >= 11);
  }

  SECTION("throughput is kept when all slots are slower") {
    server.slowness = 3;
    server.Run(limit, seconds(5));
    const int before = server.served;
    server.Run(limit, seconds(60));
    const double capacity = 60 * kSlots / (3 * kServiceSeconds * 1.133);
    CHECK(server.served - before >= 0.9 * capacity);
  }

  SECTION("shedding lowers the limit, idle time raises it again") {
    limit.OnShed(4, server.now());
    CHECK(limit.Limit(server.now()) == 3);
    Instant now = server.now();
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(10);
      limit.OnServed(now - milliseconds(10), milliseconds(10), false, now);
    }
    CHECK(limit.Limit(now) == kSlots);
  }
}

TEST_CASE("the limit rises during the warm-up") {
  const Instant start{std::chrono::hours(1)};
  ConcurrencyLimit limit(kSlots);
  limit.set_warm_up_time(seconds(10));
  limit.StartWarmUp(start);
  CHECK(limit.Limit(start) == 3);
  CHECK(limit.Limit(start + seconds(5)) == 7);
  CHECK(limit.Limit(start + seconds(10)) == kSlots);

  SECTION("the limit is at least one") {
    limit.SetSlots(0);
    CHECK(limit.Limit(start) == 1);
  }
}

}  // namespace
}  // namespace chestnutport::admission
