// Simulates the admission decisions of the product in front of one fake server,
// in virtual time. Seeded, so results are reproducible.
#ifndef ADMISSION_GATE_SIMULATION_H_
#define ADMISSION_GATE_SIMULATION_H_

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "admission/admission_controller.h"
#include "base/random.h"

namespace chestnutport::bench {

// Requests of one kind that arrive at random times.
struct Source {
  std::string tenant;
  std::string traffic_class;
  double load = 0;  // Relative to the capacity of all slots.
  base::Duration deadline = std::chrono::seconds(1);
};

// Capacity of the server at a time.
struct Capacity {
  int usable_slots = 12;
  double slowness = 1;  // Factor on the service time of each slot.
};

struct Scenario {
  std::vector<Source> sources;
  std::function<Capacity(base::Duration)> capacity = [](base::Duration) {
    return Capacity{};
  };
  base::Duration length = std::chrono::seconds(120);
  uint64_t seed = 1;
};

// Results of one source.
struct SourceStats {
  std::vector<double> latencies;  // Of answered requests, in milliseconds.
  int arrived = 0;
  int in_time = 0;
  int refused = 0;
  int late = 0;

  double Quantile(double q);
};

struct SimulationResult {
  std::vector<SourceStats> stats;  // By source.
  double goodput =
      0;  // Answers in time, relative to the capacity of all slots.
  double mean_limit = 0;
};

class GateSimulation {
 public:
  // Without `shares` all requests belong to one tenant and one class. With
  // `is_limit_known` the limit is the usable capacity at each time.
  GateSimulation(const admission::AdmissionOptions& options,
                 bool shares,
                 bool is_limit_known,
                 const Scenario& scenario);

  SimulationResult Run();

 private:
  struct Request {
    size_t source = 0;
    base::Instant arrived;
    base::Instant deadline;
  };
  struct TimedEvent {
    base::Instant at;
    std::function<void()> act;
    bool operator>(const TimedEvent& other) const { return at > other.at; }
  };

  void At(base::Instant when, std::function<void()> act);
  void ScheduleArrival(size_t source);
  void Arrive(size_t source);
  void Tick();
  void Perform(const admission::AdmissionActions& actions);
  void StartInsideServer();
  void End(const base::AttemptId& id);
  Capacity CapacityNow() const;

  Scenario scenario_;
  admission::AdmissionOptions options_;
  bool shares_;
  bool is_limit_known_;
  admission::AdmissionController admission_;
  base::Random random_;
  base::Instant start_{std::chrono::hours(1)};
  base::Instant now_ = start_;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>>
      events_;
  std::map<base::AttemptId, Request> requests_;
  std::queue<base::AttemptId>
      queued_inside_;  // Sent to the server, but not running.
  int running_ = 0;
  uint64_t last_ = 0;
  double limit_sum_ = 0;
  int ticks_ = 0;
  std::vector<SourceStats> stats_;
};

}  // namespace chestnutport::bench

#endif  // ADMISSION_GATE_SIMULATION_H_
