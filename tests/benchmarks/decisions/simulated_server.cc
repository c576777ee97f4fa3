#include "decisions/simulated_server.h"

#include "decisions/condition.h"

namespace chestnutport::bench {
namespace {

constexpr std::chrono::milliseconds kTickInterval(10);
constexpr base::Duration kLastTick = 2 * kRunLength;
constexpr std::chrono::milliseconds kFailureTime(1);

admission::AdmissionOptions OptionsFor(
    const routing::ServerCandidate& candidate) {
  admission::AdmissionOptions options;
  options.slots = candidate.slots;
  return options;
}

}  // namespace

SimulatedServer::SimulatedServer(EventQueue& queue,
                                 const routing::ServerCandidate& candidate,
                                 int service,
                                 int vm,
                                 base::Duration report_delay)
    : queue_(queue),
      candidate_(candidate),
      announced_(candidate),
      service_(service),
      vm_(vm),
      report_delay_(report_delay),
      admission_(OptionsFor(candidate)) {}

void SimulatedServer::Arrive(const admission::Arrival& arrival, Job job) {
  if (!is_up_)
    return;
  jobs_[arrival.attempt] = std::move(job);
  Perform(admission_.Arrive(arrival, queue_.now()));
}

calls::AttemptStatus SimulatedServer::SendCommand(
    const base::AttemptId& attempt,
    bool cancel) {
  using calls::AttemptStatus;
  if (!is_up_)
    return AttemptStatus::kNoAnswer;
  if (!cancel) {
    return jobs_.contains(attempt) ? AttemptStatus::kRunning
                                   : AttemptStatus::kUnknownHere;
  }
  switch (admission_.Cancel(attempt, queue_.now())) {
    case admission::AttemptState::kQueued:
      Answer(attempt, {routing::AttemptResultKind::kRefused,
                       base::ErrorKind::kCancelled});
      return AttemptStatus::kNeverRuns;
    case admission::AttemptState::kNeverRuns:
      return AttemptStatus::kNeverRuns;
    case admission::AttemptState::kRunning:
      return AttemptStatus::kRunning;
    case admission::AttemptState::kFinished:
      return AttemptStatus::kFinished;
    case admission::AttemptState::kUnknown:
      return AttemptStatus::kUnknownHere;
  }
  return AttemptStatus::kNoAnswer;
}

void SimulatedServer::Drain() {
  Perform(admission_.StartDrain(queue_.now()));
}

void SimulatedServer::SetRateLimit(std::optional<double> rate) {
  admission_.SetStatedRate(rate, queue_.now());
}

void SimulatedServer::StartTicking() {
  queue_.After(kTickInterval, [this] { Tick(); });
}

void SimulatedServer::Tick() {
  if (!is_up_ || queue_.now() > base::Instant(kLastTick))
    return;
  Perform(admission_.Tick(queue_.now()));
  StartTicking();
}

void SimulatedServer::Perform(const admission::AdmissionActions& actions) {
  for (const admission::AdmissionAction& action : actions) {
    if (action.kind == admission::ActionKind::kStart) {
      Start(action.attempt);
      continue;
    }
    Answer(action.attempt, {routing::AttemptResultKind::kRefused, action.error,
                            action.retry_after});
  }
}

void SimulatedServer::Start(const base::AttemptId& attempt) {
  const Job& job = jobs_[attempt];
  job.on_start();
  if (IsFailing()) {
    queue_.After(kFailureTime, [this, attempt] { Finish(attempt, false); });
    return;
  }
  queue_.At(speed_.EndOf(queue_.now(), job.work), [this, attempt] {
    const auto found = jobs_.find(attempt);
    if (!is_up_ || found == jobs_.end())
      return;
    if (found->second.make_nested_call) {
      const auto make_nested_call = std::move(found->second.make_nested_call);
      make_nested_call([this, attempt](bool ok) { Finish(attempt, ok); });
      return;
    }
    Finish(attempt, true);
  });
}

void SimulatedServer::Finish(const base::AttemptId& attempt, bool ok) {
  if (!is_up_)
    return;
  const auto actions = admission_.Finish(attempt, queue_.now());
  Answer(attempt, {ok ? routing::AttemptResultKind::kAnswered
                      : routing::AttemptResultKind::kFailed});
  Perform(actions);
}

void SimulatedServer::Answer(const base::AttemptId& attempt,
                             ServerAnswer answer) {
  auto node = jobs_.extract(attempt);
  if (node.empty())
    return;
  answer.load = Report();
  node.mapped().on_answer(answer);
}

wire::LoadReport SimulatedServer::Report() {
  const base::Instant now = queue_.now();
  wire::LoadReport report = admission_.Load(now);
  if (misreports_from_ && *misreports_from_ <= now)
    report = {0, candidate_.slots, 0, {}};
  if (report_delay_ == base::Duration::zero())
    return report;
  reports_.emplace_back(now, report);
  while (reports_.size() > 1 && reports_[1].first + report_delay_ <= now)
    reports_.pop_front();
  return reports_.front().second;
}

}  // namespace chestnutport::bench
