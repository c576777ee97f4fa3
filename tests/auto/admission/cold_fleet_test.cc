// Guards against requests that are passed from gate to gate after all VMs of a
// service lost power together: every server is then cold and twice as slow as
// usual, and no server is a better choice. Each node has just started and
// contacts gates whose servers have sent no report, or no recent one. Time is
// virtual and the random numbers are seeded.
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "admission/server_performance.h"
#include "base/random.h"
#include "calls/move_limits.h"
#include "routing/recent_strain.h"

namespace chestnutport::admission {
namespace {

using base::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr int kServers = 60;
constexpr int kRequests = 4000;
constexpr double kColdSlowness = 2;
constexpr milliseconds kBetweenRequests(1);
constexpr milliseconds kMoveDelay(3);
// Share of the exchanges between nodes without a report on the server, because
// its queue was full or the gate had none yet.
constexpr double kWithoutReport = 0.3;

class ColdFleet {
 public:
  ColdFleet() : gates_(kServers), nodes_(kServers) {}

  // Returns the mean number of moves per request.
  double MovesPerRequest() {
    for (int i = 0; i < kRequests; ++i)
      PlaceRequest(PickRandom(nodes_), kStart + i * kBetweenRequests);
    return static_cast<double>(moves_) / kRequests;
  }

 private:
  template <typename T>
  T& PickRandom(std::vector<T>& from) {
    return from[std::uniform_int_distribution<size_t>(0,
                                                      kServers - 1)(random_)];
  }

  void PlaceRequest(routing::RecentStrain& node, Instant now) {
    for (int move = 0;; ++move, now += kMoveDelay) {
      ServerPerformance& gate = PickRandom(gates_);
      if (!std::bernoulli_distribution(kWithoutReport)(random_))
        gate.OnSlowness(kColdSlowness, now);
      const bool is_poor = gate.IsDegraded(now, node.usual());
      if (const auto strain = gate.KnownStrain(now))
        node.OnReport(*strain);
      if (move >= calls::kDefaultMoveLimits.if_degraded || !is_poor)
        return;
      ++moves_;
    }
  }

  base::Random random_{20261203};
  std::vector<ServerPerformance> gates_;
  std::vector<routing::RecentStrain> nodes_;  // Usual strain seen by each node.
  int moves_ = 0;
};

// If a missing report is treated as a good one, there are 0.12 moves per
// request. Otherwise there are 0.015, from the first request of each node.
TEST_CASE(
    "after a start of all servers requests are not moved in search of a warm "
    "one") {
  CHECK(ColdFleet().MovesPerRequest() < 0.05);
}

}  // namespace
}  // namespace chestnutport::admission
