// Guards against a server that gets more requests than the rate that it states.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/hosted_pair.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow(4);
// In any window a server may get this many times what it stated, and some more.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
// Other nodes have to keep to a limit this long after they passed it on.
constexpr milliseconds kNotice(500);

double Allowed(double rate) {
  return kAllowedFactor * rate * kWindow.count() + kAllowedExtra;
}

// Returns the largest number of `arrivals`, from `begin` on, in any window.
size_t MaxArrivals(const std::vector<Instant>& arrivals, Instant begin) {
  size_t most = 0;
  for (auto first = std::ranges::lower_bound(arrivals, begin);
       first != arrivals.end(); ++first) {
    const auto end = std::ranges::lower_bound(arrivals, *first + kWindow);
    most = std::max(most, static_cast<size_t>(end - first));
  }
  return most;
}

bool WaitUntilTime(Instant time) {
  return WaitUntil([&] { return base::Clock::now() >= time; });
}

net::HttpHeaders Limit(const std::string& rate) {
  return {{"Server-Limit", rate}};
}

TEST_CASE("a server states the requests per second that it accepts") {
  constexpr double kRate = 0.5;
  HostedPair pair("rate-limit");
  pair.State(Limit("0.5"));
  pair.StartCalls();
  const Instant stated_at = base::Clock::now() + HostedPair::kWork + kNotice;

  SECTION("and gets no more") {
    REQUIRE(WaitUntilTime(stated_at + kWindow));
    pair.StopCalls();
    CHECK(MaxArrivals(pair.Arrivals(), stated_at) <= Allowed(kRate));
  }
  SECTION("and gets no more while the node beside it restarts") {
    REQUIRE(WaitUntilTime(stated_at + kWindow / 4));
    pair.RestartServerNode();
    const size_t before = pair.Arrivals().size();
    REQUIRE(pair.WaitForRequests(3));
    CHECK(pair.Arrivals().size() >= before + 3);
    pair.StopCalls();
    CHECK(MaxArrivals(pair.Arrivals(), stated_at) <= Allowed(kRate));
  }
  SECTION("and gets no more when the node beside it was frozen") {
    REQUIRE(WaitUntilTime(stated_at));
    pair.FreezeServerNode(seconds(2));
    const Instant thawed_at = base::Clock::now();
    REQUIRE(pair.WaitForRequests(2));
    REQUIRE(WaitUntilTime(thawed_at + kWindow));
    pair.StopCalls();
    CHECK(MaxArrivals(pair.Arrivals(), stated_at) <= Allowed(kRate));
  }
  SECTION("and gets no more when the callers' node restarts") {
    REQUIRE(WaitUntilTime(stated_at));
    pair.StopCalls();
    pair.RestartCallersNode();
    pair.StartCalls();
    REQUIRE(WaitUntilTime(base::Clock::now() + kWindow));
    pair.StopCalls();
    CHECK(MaxArrivals(pair.Arrivals(), stated_at) <= Allowed(kRate));
  }
  SECTION("until it states a higher rate") {
    pair.State(Limit("500"));
    CHECK(pair.WaitForRequests(100));
  }
  SECTION("until it states none") {
    pair.State({});
    CHECK(pair.WaitForRequests(100));
  }
}

}  // namespace
}  // namespace chestnutport::test
