#include "admission/gate_simulation.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace chestnutport::bench {
namespace {

using base::AttemptId;
using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

constexpr int kSlots = 12;
constexpr double kMeanSeconds = 0.01;
constexpr double kSpread = 0.5;  // Sigma of the lognormal service time.
constexpr std::chrono::milliseconds kTick(10);

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

}  // namespace

double SourceStats::Quantile(double q) {
  if (latencies.empty())
    return 0;
  std::ranges::sort(latencies);
  const auto at =
      static_cast<size_t>(q * static_cast<double>(latencies.size()));
  return latencies[std::min(at, latencies.size() - 1)];
}

GateSimulation::GateSimulation(const admission::AdmissionOptions& options,
                               bool shares,
                               bool is_limit_known,
                               const Scenario& scenario)
    : scenario_(scenario),
      options_(options),
      shares_(shares),
      is_limit_known_(is_limit_known),
      admission_(options),
      random_(scenario.seed),
      stats_(scenario.sources.size()) {}

SimulationResult GateSimulation::Run() {
  for (size_t i = 0; i < scenario_.sources.size(); ++i)
    ScheduleArrival(i);
  Tick();
  while (events_.top().at < start_ + scenario_.length) {
    const TimedEvent next = events_.top();
    events_.pop();
    now_ = next.at;
    next.act();
  }
  SimulationResult result;
  int in_time = 0;
  for (const SourceStats& stats : stats_)
    in_time += stats.in_time;
  const double most = Seconds(scenario_.length).count() * kSlots / kMeanSeconds;
  result.goodput = in_time / most;
  result.mean_limit = limit_sum_ / ticks_;
  result.stats = std::move(stats_);
  return result;
}

void GateSimulation::At(Instant when, std::function<void()> act) {
  events_.push({when, std::move(act)});
}

void GateSimulation::ScheduleArrival(size_t source) {
  const double rate = scenario_.sources[source].load * kSlots / kMeanSeconds;
  std::exponential_distribution<double> gap(rate);
  At(now_ + ToDuration(gap(random_)), [this, source] {
    Arrive(source);
    ScheduleArrival(source);
  });
}

void GateSimulation::Arrive(size_t source) {
  const Source& from = scenario_.sources[source];
  const AttemptId id{1, ++last_};
  requests_[id] = {source, now_, now_ + from.deadline};
  ++stats_[source].arrived;
  Perform(admission_.Arrive(
      {id, shares_ ? from.tenant : "", shares_ ? from.traffic_class : "",
       now_ + from.deadline},
      now_));
}

void GateSimulation::Tick() {
  if (is_limit_known_) {
    options_.slots = CapacityNow().usable_slots;
    admission_.set_options(options_);
  }
  Perform(admission_.Tick(now_));
  limit_sum_ += admission_.Load(now_).limit;
  ++ticks_;
  At(now_ + kTick, [this] { Tick(); });
}

void GateSimulation::Perform(const admission::AdmissionActions& actions) {
  for (const admission::AdmissionAction& action : actions) {
    if (action.kind == admission::ActionKind::kStart) {
      queued_inside_.push(action.attempt);
      continue;
    }
    ++stats_[requests_[action.attempt].source].refused;
    requests_.erase(action.attempt);
  }
  StartInsideServer();
}

void GateSimulation::StartInsideServer() {
  const Capacity capacity = CapacityNow();
  while (!queued_inside_.empty() && running_ < capacity.usable_slots) {
    const AttemptId id = queued_inside_.front();
    queued_inside_.pop();
    ++running_;
    const double median = kMeanSeconds / std::exp(kSpread * kSpread / 2);
    std::lognormal_distribution<double> time(std::log(median), kSpread);
    At(now_ + ToDuration(time(random_) * capacity.slowness),
       [this, id] { End(id); });
  }
}

void GateSimulation::End(const AttemptId& id) {
  --running_;
  const Request request = requests_[id];
  requests_.erase(id);
  SourceStats& stats = stats_[request.source];
  stats.latencies.push_back(Seconds(now_ - request.arrived).count() * 1000);
  ++(now_ <= request.deadline ? stats.in_time : stats.late);
  Perform(admission_.Finish(id, now_, admission::ServerResult::kAnswered));
}

Capacity GateSimulation::CapacityNow() const {
  return scenario_.capacity(now_ - start_);
}

}  // namespace chestnutport::bench
