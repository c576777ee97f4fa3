// Tests the delay after which refused callers should retry.
#include "calls/retry_delay.h"

#include <catch2/catch.hpp>
#include <set>

namespace chestnutport::calls {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the delay leaves time for an answer before the deadline") {
  base::Random random(3);
  for (int i = 0; i < 1000; ++i) {
    const auto time =
        RetryDelay(std::chrono::seconds(1), milliseconds(900), random);
    CHECK(time <= milliseconds(300));
    CHECK(time >= milliseconds(135));
  }
}

TEST_CASE("the delay is shorter if capacity is expected sooner") {
  base::Random random(3);
  CHECK(RetryDelay(milliseconds(40), std::chrono::seconds(10), random) <=
        milliseconds(40));
}

TEST_CASE("the delays of callers refused together are spread") {
  base::Random random(3);
  std::set<int64_t> buckets;  // Each 10 ms long.
  for (int i = 0; i < 100; ++i) {
    const auto time =
        RetryDelay(std::chrono::seconds(1), std::chrono::seconds(1), random);
    buckets.insert(std::chrono::duration_cast<milliseconds>(time).count() / 10);
  }
  CHECK(buckets.size() > 10);
}

TEST_CASE("the delay is zero after the deadline") {
  base::Random random(3);
  CHECK(RetryDelay(milliseconds(40), -milliseconds(5), random) ==
        base::Duration::zero());
}

}  // namespace
}  // namespace chestnutport::calls
