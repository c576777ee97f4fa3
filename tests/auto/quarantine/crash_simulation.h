// Simulates crashing servers and retrying callers, with the product's
// CrashLedger and QuarantineFilter, in one process and in virtual time.
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
  // Share of the requests that run for `long_run_time`.
  double long_running_share = 0.01;
  base::Duration long_run_time = std::chrono::seconds(8);
  base::Duration usual_run_time = std::chrono::milliseconds(90);
  // Share of the requests that are one of ten popular ones.
  double popular_share = 0.2;
  // Mean time from the start of a server to a crash with a cause other than its
  // requests; zero disables such crashes.
  base::Duration mean_uptime{};
  // Interval at which a share of the servers crashes at once; zero disables
  // mass crashes.
  base::Duration mass_crash_interval{};
  double mass_crash_share = 0;
  base::Duration restart_time = std::chrono::seconds(3);
  // Time until the observation of one node has reached all nodes, measured in
  // fleets of 30 to 3,000 nodes.
  base::Duration propagation_delay = std::chrono::milliseconds(200);
  // Requests that crash each server that runs them, and how often each is sent.
  size_t poison_requests = 0;
  base::Duration poison_interval = std::chrono::seconds(4);
  base::Duration poison_run_time = std::chrono::milliseconds(90);
};

struct CrashSimulationResult {
  size_t calls = 0;
  size_t answered = 0;
  size_t crashes = 0;
  size_t false_quarantines = 0;  // Of requests that crash no server.
  size_t false_long_quarantines =
      0;  // Of those, for longer than kFirstQuarantinePeriod.
  size_t false_rejections =
      0;  // Calls of such requests that a verdict rejected.
  size_t false_suspects = 0;
  // Number of crashes caused by each poison request, and number of those that
  // came later than three seconds after its third crash.
  std::vector<size_t> crashes_by_poison;
  std::vector<size_t> late_crashes_by_poison;
  size_t quarantined_poison = 0;
};

class CrashSimulation {
 public:
  explicit CrashSimulation(const CrashSimulationOptions& options);

  CrashSimulationResult Run();

 private:
  struct Attempt {
    uint64_t call = 0;
    base::RequestFingerprint fingerprint;
    bool is_suspect = false;
    base::Instant started;
  };
  struct Server {
    base::NodeId node;
    uint32_t life = 1;
    bool is_up = true;
    QuarantineFilter filter;
    std::map<uint64_t, Attempt> running;  // By attempt number.
  };
  struct Call {
    base::RequestFingerprint fingerprint;
    base::Duration run{};
    bool is_poison = false;
    int lost = 0;               // Attempts lost in a crash.
    int remaining_retries = 1;  // Retries left to the caller.
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

  void ScheduleAt(base::Instant when, std::function<void()> act);
  void ScheduleAfter(base::Duration delay, std::function<void()> act);
  base::Duration DrawExponential(base::Duration mean);
  double DrawUniform();

  void StartNextCall();
  void StartCall(Call call);
  void Send(uint64_t id);
  Server* ChooseServer(const Call& call);
  // Whether the sending node has recorded two crashes with the request.
  bool IsSuspect(const Call& call) const;
  void StartAttempt(uint64_t id, Server& server);
  void OnRunFinished(size_t server, uint32_t life, uint64_t attempt);
  void OnAnswered(Server& server, uint64_t attempt);
  void OnRejected(uint64_t id, base::ErrorKind error);
  void OnLost(uint64_t id);
  void CrashServer(Server& server);
  void ScheduleRandomCrash(size_t server);
  void CrashMany();
  void Propagate(std::function<void()> update);
  void PublishVerdicts();
  void Tick();

  CrashSimulationOptions options_;
  base::Random random_;
  base::Instant now_{std::chrono::hours(1)};
  base::Instant end_;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Server> servers_;
  // The evidence that all nodes share; it is added after the propagation delay.
  CrashLedger ledger_;
  SharedVerdicts verdicts_ = std::make_shared<const Verdicts>();
  std::map<uint64_t, Call> calls_;
  uint64_t last_call_ = 0;
  uint64_t last_attempt_ = 0;
  uint64_t last_fingerprint_ = 1000;
  std::set<uint64_t> false_suspects_;
  std::set<uint64_t> false_quarantines_;
  std::set<uint64_t> false_long_quarantines_;
  std::map<uint64_t, std::vector<base::Instant>> poison_crashes_;
  CrashSimulationResult result_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_SIMULATION_H_
