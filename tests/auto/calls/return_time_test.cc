// When refused callers are told to come back.
#include "calls/retry_delay.h"

#include <catch2/catch.hpp>
#include <set>

namespace chestnutport::calls {
namespace {

using std::chrono::milliseconds;

TEST_CASE("callers come back while an answer can still be of use") {
  base::Random random(3);
  for (int i = 0; i < 1000; ++i) {
    const auto time =
        RetryDelay(std::chrono::seconds(1), milliseconds(900), random);
    CHECK(time <= milliseconds(300));
    CHECK(time >= milliseconds(135));
  }
}

TEST_CASE("they come back sooner where there is room sooner") {
  base::Random random(3);
  CHECK(RetryDelay(milliseconds(40), std::chrono::seconds(10), random) <=
        milliseconds(40));
}

TEST_CASE("those refused together do not return together") {
  base::Random random(3);
  std::set<int64_t> slots;  // Of ten milliseconds.
  for (int i = 0; i < 100; ++i) {
    const auto time =
        RetryDelay(std::chrono::seconds(1), std::chrono::seconds(1), random);
    slots.insert(std::chrono::duration_cast<milliseconds>(time).count() / 10);
  }
  CHECK(slots.size() > 10);
}

TEST_CASE("without time left there is no time to wait") {
  base::Random random(3);
  CHECK(RetryDelay(milliseconds(40), -milliseconds(5), random) ==
        base::Duration::zero());
}

}  // namespace
}  // namespace chestnutport::calls
