// Servers that end, callers that return, and the product's own decisions on
// which request may run: in one process and in virtual time.
#ifndef QUARANTINE_CRASH_SIMULATION_H_
#define QUARANTINE_CRASH_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/quarantine_filter.h"

namespace chestnutport::quarantine {

struct CrashSimulationOptions {
  uint64_t seed = 1;
  size_t servers = 7;
  base::Duration length = std::chrono::seconds(60);
  double requests_per_second = 270;
  // Of the requests, those that run for `long_run`.
  double long_share = 0.01;
  base::Duration long_run = std::chrono::seconds(8);
  base::Duration usual_run = std::chrono::milliseconds(90);
  // Of the requests, those for one of ten contents that all ask for.
  double popular_share = 0.2;
  // The mean time from a start of a server to an end that has nothing to do
  // with what it runs; zero: there are none.
  base::Duration mean_life{};
  // Every so often this share of the servers ends at once; zero: never.
  base::Duration mass_interval{};
  double mass_share = 0;
  base::Duration down_for = std::chrono::seconds(3);
  // Until all nodes know what one saw, measured at 30 to 3,000 nodes.
  base::Duration news_delay = std::chrono::milliseconds(200);
  // Requests that end each server that runs them, and how often each is sent.
  size_t guilty = 0;
  base::Duration guilty_interval = std::chrono::seconds(4);
  base::Duration guilty_run = std::chrono::milliseconds(90);
};

struct CrashSimulationResult {
  size_t calls = 0;
  size_t answered = 0;
  size_t ends = 0;
  size_t wrong_quarantines = 0;  // Of requests that end no server.
  size_t wrong_long_holds = 0;   // Of those, for more than a moment.
  size_t wrong_refusals = 0;     // Their calls that a verdict refused.
  size_t wrong_suspects = 0;
  // Ends of servers by each guilty request, and those later than three seconds
  // after the third.
  std::vector<size_t> ends_by_guilty;
  std::vector<size_t> late_by_guilty;
  size_t guilty_in_quarantine = 0;
};

class CrashSimulation {
 public:
  explicit CrashSimulation(const CrashSimulationOptions& options);

  CrashSimulationResult Run();

 private:
  struct Attempt {
    uint64_t call = 0;
    base::RequestFingerprint content;
    bool is_suspect = false;
    base::Instant started;
  };
  struct Server {
    base::NodeId node;
    uint32_t life = 1;
    bool is_up = true;
    QuarantineFilter guard;
    std::map<uint64_t, Attempt> running;  // By the attempt's number.
  };
  struct Call {
    base::RequestFingerprint content;
    base::Duration run{};
    bool is_guilty = false;
    int lost = 0;     // Attempts that ended with their server.
    int returns = 1;  // That the caller has left.
    std::vector<base::NodeId> tried;
  };
  struct Event {
    base::Instant when;
    uint64_t order = 0;
    std::function<void()> act;

    bool operator>(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  void At(base::Instant when, std::function<void()> act);
  void After(base::Duration delay, std::function<void()> act);
  base::Duration Exponential(base::Duration mean);
  double Chance();

  void ArriveNext();
  void Begin(Call call);
  void Send(uint64_t id);
  Server* Choose(const Call& call);
  // Servers ended with it twice, as far as the node that sends it knows.
  bool IsSuspect(const Call& call) const;
  void Start(uint64_t id, Server& server);
  void OnRunOver(size_t server, uint32_t life, uint64_t attempt);
  void OnAnswered(Server& server, uint64_t attempt);
  void OnRefused(uint64_t id, base::ErrorKind error);
  void OnLost(uint64_t id);
  void CrashServer(Server& server);
  void ScheduleChanceEnd(size_t server);
  void EndMany();
  void Tell(std::function<void()> news);
  void PublishVerdicts();
  void Tick();

  CrashSimulationOptions options_;
  base::Random random_;
  base::Instant now_{std::chrono::hours(1)};
  base::Instant end_;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Server> servers_;
  // What all nodes know; what one sees comes there a delay later.
  CrashLedger ledger_;
  SharedVerdicts verdicts_ = std::make_shared<const Verdicts>();
  std::map<uint64_t, Call> calls_;
  uint64_t last_call_ = 0;
  uint64_t last_attempt_ = 0;
  uint64_t last_content_ = 1000;
  std::set<uint64_t> wrong_suspects_;
  std::set<uint64_t> wrong_quarantines_;
  std::set<uint64_t> wrong_long_holds_;
  std::map<uint64_t, std::vector<base::Instant>> guilty_ends_;
  CrashSimulationResult result_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_SIMULATION_H_
