// Plays requests on servers whose VMs turn slow in spells, and counts how many
// were started on a slow one, with the decisions that the gates use.
//
// The load is that of the larger users' fleets: a third of the servers is slow
// at a time, for some 300 ms, and then takes four times as long for whatever is
// started. All times are virtual, and the random numbers are seeded.
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
constexpr milliseconds kSpell(300);
constexpr milliseconds kBetweenRequests(2);
constexpr milliseconds kMove(3);   // There, back, and to the next gate.
constexpr milliseconds kProbe(1);  // Until its answer is there.

// A server, whose VM is slow or not for each spell anew.
class Server {
 public:
  Server(const ProbeOptions& options, base::Random& random)
      : phase_(std::uniform_int_distribution<int>(0, kSpell.count())(random)),
        seed_(random()),
        probes(options, kStart - std::chrono::seconds(10)) {}

  double Slowness(Instant now) const {
    const int64_t spell = (now - kStart + phase_) / kSpell;
    base::Random random(seed_ + static_cast<uint64_t>(spell));
    return std::bernoulli_distribution(kSlowShare)(random) ? kSlow : 1;
  }

 private:
  milliseconds phase_;
  uint64_t seed_;

 public:
  ProbeScheduler probes;
  ServerPerformance pace;
};

struct Way {
  ProbeOptions probes;
  int most_moves = 0;
};

struct Outcome {
  double started_on_slow = 0;  // Share of the requests.
  double probes = 0;           // For each request.
  double moves = 0;            // The same.
};

class Fleet {
 public:
  explicit Fleet(const Way& way) : way_(way) {
    for (int i = 0; i < kServers; ++i)
      servers_.emplace_back(way.probes, random_);
  }

  Outcome Play() {
    int slow = 0;
    for (int i = 0; i < kRequests; ++i) {
      const Instant now = kStart + i * kBetweenRequests;
      ProbeInBackground(now);
      slow += Serve(now) > 1 ? 1 : 0;
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
      if (server.probes.Begin(now))
        EndProbe(server, now);
    }
  }

  static void EndProbe(Server& server, Instant now) {
    server.probes.End(kProbe, true, now);
    server.pace.OnSlowness(server.Slowness(now), now);
  }

  // How slow the server is on which the request is started at last.
  double Serve(Instant now) {
    for (int move = 0;; ++move, now += kMove) {
      Server& server = servers_[std::uniform_int_distribution<size_t>(
          0, kServers - 1)(random_)];
      if (server.probes.IsStale(now) && server.probes.StartOnDemand(now))
        EndProbe(server, now);
      const bool is_poor = server.pace.IsDegraded(now, usual_.usual());
      usual_.OnReport(server.pace.Slowness(now));
      if (move >= way_.most_moves || !is_poor) {
        moves_ += move;
        return server.Slowness(now);
      }
    }
  }

  Way way_;
  base::Random random_{20261202};
  std::vector<Server> servers_;
  routing::RecentStrain usual_;
  int moves_ = 0;
};

TEST_CASE("requests on servers that turn slow in spells") {
  const Outcome without = Fleet({{0.2, std::chrono::hours(1)}, 0}).Play();
  CHECK(without.started_on_slow > 0.3);

  SECTION("probes at a steady pace leave four in a hundred on a slow server") {
    const Outcome steady = Fleet({{0.2, milliseconds(40)}, 3}).Play();
    CHECK(steady.started_on_slow > 0.03);
    CHECK(steady.probes > 1);

    SECTION("a probe before a start, and more moves, hardly any, for less") {
      const Way way{{0.2, milliseconds(250), milliseconds(15)},
                    calls::kUsualMoves.if_poor};
      const Outcome looked = Fleet(way).Play();
      CHECK(looked.started_on_slow < 0.01);
      CHECK(looked.started_on_slow < steady.started_on_slow / 5);
      CHECK(looked.moves < 1);
      CHECK(looked.probes < 2);
    }
  }
}

}  // namespace
}  // namespace chestnutport::admission
