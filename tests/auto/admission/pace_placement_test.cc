// Guards against requests that start on a server whose VM is slow at the
// moment. Simulates gates with the probing and placement decisions of the
// product.
//
// A third of the servers is slow at any time, for about 300 ms, and then takes
// four times as long for the requests it starts. Time is virtual and the random
// numbers are seeded.
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

#include "admission/probe_scheduler.h"
#include "admission/server_performance.h"
#include "base/random.h"
#include "calls/move_limits.h"
#include "routing/recent_strain.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr int kServers = 66;
constexpr int kRequests = 20000;
constexpr double kSlowShare = 0.35;
constexpr double kSlow = 4;
constexpr milliseconds kSlowPeriod(300);
constexpr milliseconds kBetweenRequests(2);
constexpr milliseconds kMoveDelay(3);  // To a gate, back, and to the next gate.
constexpr milliseconds kProbeTime(1);  // Response time of a probe.

// A server whose VM is slow or not in each period, at random.
class Server {
 public:
  Server(const ProbeOptions& options, base::Random& random)
      : phase_(
            std::uniform_int_distribution<int>(0, kSlowPeriod.count())(random)),
        seed_(random()),
        probes(options, kStart - std::chrono::seconds(10)) {}

  double Slowness(Instant now) const {
    const int64_t period = (now - kStart + phase_) / kSlowPeriod;
    base::Random random(seed_ + static_cast<uint64_t>(period));
    return std::bernoulli_distribution(kSlowShare)(random) ? kSlow : 1;
  }

 private:
  milliseconds phase_;
  uint64_t seed_;

 public:
  ProbeScheduler probes;
  ServerPerformance performance;
};

struct Strategy {
  ProbeOptions probes;
  int max_moves = 0;
};

struct Outcome {
  double started_on_slow = 0;  // Share of the requests.
  double probes = 0;           // Per request.
  double moves = 0;            // Per request.
};

class Fleet {
 public:
  explicit Fleet(const Strategy& strategy) : strategy_(strategy) {
    for (int i = 0; i < kServers; ++i)
      servers_.emplace_back(strategy.probes, random_);
  }

  Outcome Run() {
    int slow = 0;
    for (int i = 0; i < kRequests; ++i) {
      const Instant now = kStart + i * kBetweenRequests;
      ProbeInBackground(now);
      slow += PlaceRequest(now) > 1 ? 1 : 0;
    }
    Outcome outcome{static_cast<double>(slow) / kRequests, 0,
                    static_cast<double>(moves_) / kRequests};
    for (const Server& server : servers_)
      outcome.probes += static_cast<double>(server.probes.probes()) / kRequests;
    return outcome;
  }

 private:
  void ProbeInBackground(Instant now) {
    for (Server& server : servers_) {
      if (server.probes.StartIfDue(now))
        EndProbe(server, now);
    }
  }

  static void EndProbe(Server& server, Instant now) {
    server.probes.End(kProbeTime, true, now);
    server.performance.OnSlowness(server.Slowness(now), now);
  }

  // Returns the slowness of the server on which the request is started.
  double PlaceRequest(Instant now) {
    for (int move = 0;; ++move, now += kMoveDelay) {
      Server& server = servers_[std::uniform_int_distribution<size_t>(
          0, kServers - 1)(random_)];
      if (server.probes.IsStale(now) && server.probes.StartOnDemand(now))
        EndProbe(server, now);
      const bool is_poor = server.performance.IsDegraded(now, usual_.usual());
      usual_.OnReport(server.performance.Slowness(now));
      if (move >= strategy_.max_moves || !is_poor) {
        moves_ += move;
        return server.Slowness(now);
      }
    }
  }

  Strategy strategy_;
  base::Random random_{20261202};
  std::vector<Server> servers_;
  routing::RecentStrain usual_;
  int moves_ = 0;
};

TEST_CASE("requests on servers with slow periods") {
  const Outcome without = Fleet({{0.2, std::chrono::hours(1)}, 0}).Run();
  CHECK(without.started_on_slow > 0.3);

  SECTION("periodic probes: four in a hundred start on a slow server") {
    const Outcome steady = Fleet({{0.2, milliseconds(40)}, 3}).Run();
    CHECK(steady.started_on_slow > 0.03);
    CHECK(steady.probes > 1);

    SECTION("on-demand probes and more moves: hardly any, with fewer probes") {
      const Strategy strategy{{0.2, milliseconds(250), milliseconds(15)},
                              calls::kDefaultMoveLimits.if_degraded};
      const Outcome on_demand = Fleet(strategy).Run();
      CHECK(on_demand.started_on_slow < 0.01);
      CHECK(on_demand.started_on_slow < steady.started_on_slow / 5);
      CHECK(on_demand.moves < 1);
      CHECK(on_demand.probes < 2);
    }
  }
}

}  // namespace
}  // namespace chestnutport::admission
