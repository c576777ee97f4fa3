// Plays the seconds after all VMs of a service lost power together, and counts
// how often requests are handed from gate to gate.
//
// Every server is cold then, twice as slow as usual, and none is a better
// choice than another. Each node has just started and asks gates whose servers
// said nothing yet, or not lately. Times are virtual, random numbers seeded.
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
constexpr double kCold = 2;
constexpr milliseconds kBetweenRequests(1);
constexpr milliseconds kMove(3);
// Of the exchanges between nodes, those that bring no word of the server: its
// queue was full, or the gate did not know it yet.
constexpr double kWithoutWord = 0.3;

class ColdFleet {
 public:
  ColdFleet() : gates_(kServers), nodes_(kServers) {}

  // Moves for each request.
  double Play() {
    for (int i = 0; i < kRequests; ++i)
      Serve(Any(nodes_), kStart + i * kBetweenRequests);
    return static_cast<double>(moves_) / kRequests;
  }

 private:
  template <typename T>
  T& Any(std::vector<T>& from) {
    return from[std::uniform_int_distribution<size_t>(0,
                                                      kServers - 1)(random_)];
  }

  void Serve(routing::RecentStrain& node, Instant now) {
    for (int move = 0;; ++move, now += kMove) {
      ServerPerformance& gate = Any(gates_);
      if (!std::bernoulli_distribution(kWithoutWord)(random_))
        gate.OnSlowness(kCold, now);
      const bool is_poor = gate.IsDegraded(now, node.usual());
      if (const auto strain = gate.KnownStrain(now))
        node.OnReport(*strain);
      if (move >= calls::kUsualMoves.if_poor || !is_poor)
        return;
      ++moves_;
    }
  }

  base::Random random_{20261203};
  std::vector<ServerPerformance> gates_;
  std::vector<routing::RecentStrain> nodes_;  // What each node takes for usual.
  int moves_ = 0;
};

// 0.12 moves a request if a word that is not there counts as a good one, 0.015
// if it does not: the first request of each node.
TEST_CASE("after a start of all servers no request looks for a warm one") {
  CHECK(ColdFleet().Play() < 0.05);
}

}  // namespace
}  // namespace chestnutport::admission
