// The listeners of a node together stay within the memory that it may take.
#include "traffic/listener_limits.h"

#include <catch2/catch.hpp>

namespace chestnutport::traffic {
namespace {

constexpr size_t kMegabyte = 1024 * 1024;

TEST_CASE("all that clients can make a node keep fits into its memory") {
  const size_t megabytes = GENERATE(100, 112, 160, 260, 512, 4096);
  INFO(megabytes << " MB");
  CHECK(MaxProcessMemory(megabytes * kMegabyte) <= megabytes * kMegabyte);
}

TEST_CASE("one body of the largest size fits beside all else on 160 MB") {
  CHECK(CallerListenerLimits(160 * kMegabyte).large_bodies >= 64 * kMegabyte);
}

}  // namespace
}  // namespace chestnutport::traffic
