#include "crash_simulation.h"

#include <algorithm>
#include <utility>

#include "base/error_kind.h"
#include "ingress/key_owner_view.h"

namespace chestnutport::quarantine {
namespace {

using base::Duration;
using base::Instant;
using base::RequestFingerprint;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Limits on the servers that may run one call, and on the nodes that it is sent
// to.
constexpr int kMaxServersPerCall = 3;
constexpr int kMaxSendsPerCall = 10;
constexpr uint64_t kPopularRequests = 10;
constexpr uint64_t kFirstPopularFingerprint = 100;
constexpr seconds kPropagationTime(3);

}  // namespace

CrashSimulation::CrashSimulation(const CrashSimulationOptions& options)
    : options_(options), random_(options.seed), end_(now_ + options.length) {
  servers_.resize(options.servers);
  for (size_t i = 0; i < servers_.size(); ++i) {
    servers_[i].node = {1 + random_()};
  }
  for (size_t i = 0; i < servers_.size(); ++i)
    ScheduleRandomCrash(i);
  if (options.mass_crash_interval > Duration::zero())
    ScheduleAfter(options.mass_crash_interval, [this] { CrashMany(); });
}

CrashSimulationResult CrashSimulation::Run() {
  StartNextCall();
  Tick();
  for (size_t i = 0; i < options_.poison_requests; ++i) {
    const RequestFingerprint fingerprint{1 + i};
    poison_crashes_[fingerprint.value];
    const auto send = std::make_shared<std::function<void()>>();
    *send = [this, fingerprint, send] {
      StartCall({.fingerprint = fingerprint,
                 .run = options_.poison_run_time,
                 .is_poison = true});
      ScheduleAfter(options_.poison_interval, *send);
    };
    ScheduleAfter(seconds(2), *send);
  }
  while (!events_.empty() && events_.top().when <= end_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.when;
    event.act();
  }
  for (const auto& [fingerprint, crashes] : poison_crashes_) {
    result_.crashes_by_poison.push_back(crashes.size());
    const bool has_three = crashes.size() >= 3;
    result_.late_crashes_by_poison.push_back(
        has_three ? static_cast<size_t>(std::ranges::count_if(
                        crashes,
                        [&](Instant crash) {
                          return crash > crashes[2] + kPropagationTime;
                        }))
                  : 0);
    const auto verdict = ledger_.VerdictOf({fingerprint}, now_).verdict;
    result_.quarantined_poison += verdict == Verdict::kQuarantined ? 1 : 0;
  }
  result_.false_suspects = false_suspects_.size();
  result_.false_quarantines = false_quarantines_.size();
  result_.false_long_quarantines = false_long_quarantines_.size();
  return result_;
}

void CrashSimulation::ScheduleAt(Instant when, std::function<void()> act) {
  events_.push({when, ++order_, std::move(act)});
}

void CrashSimulation::ScheduleAfter(Duration delay, std::function<void()> act) {
  ScheduleAt(now_ + delay, std::move(act));
}

double CrashSimulation::DrawUniform() {
  return std::uniform_real_distribution<>(0, 1)(random_);
}

Duration CrashSimulation::DrawExponential(Duration mean) {
  const double drawn = std::exponential_distribution<>(1)(random_);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(mean) * drawn);
}

void CrashSimulation::StartNextCall() {
  const bool is_popular = DrawUniform() < options_.popular_share;
  const bool is_long =
      !is_popular && DrawUniform() < options_.long_running_share;
  const uint64_t fingerprint =
      is_popular ? kFirstPopularFingerprint + random_() % kPopularRequests
                 : ++last_fingerprint_;
  StartCall({.fingerprint = {fingerprint},
             .run = is_long
                        ? options_.long_run_time
                        : options_.usual_run_time / 2 +
                              DrawExponential(options_.usual_run_time / 2)});
  const auto interval = std::chrono::duration_cast<Duration>(
      seconds(1) / options_.requests_per_second);
  ScheduleAfter(DrawExponential(interval), [this] { StartNextCall(); });
}

void CrashSimulation::StartCall(Call call) {
  const uint64_t id = ++last_call_;
  ++result_.calls;
  calls_[id] = std::move(call);
  Send(id);
}

void CrashSimulation::Send(uint64_t id) {
  Call& call = calls_[id];
  const VerdictUntil verdict = verdicts_->Of(call.fingerprint);
  if (verdict.verdict == Verdict::kQuarantined) {
    OnRejected(id, base::ErrorKind::kRequestQuarantined);
    return;
  }
  Server* server = ChooseServer(call);
  if (!server) {
    calls_.erase(id);
    return;
  }
  call.tried.push_back(server->node);
  if (const auto rejection = server->filter.FindRejection(
          {call.fingerprint, IsSuspect(call)}, now_))
    OnRejected(id, rejection->error);
  else
    StartAttempt(id, *server);
}

CrashSimulation::Server* CrashSimulation::ChooseServer(const Call& call) {
  std::vector<Server*> up;
  std::vector<routing::ServerCandidate> candidates;
  for (Server& server : servers_) {
    const bool is_tried =
        std::ranges::find(call.tried, server.node) != call.tried.end();
    if (!server.is_up || is_tried)
      continue;
    up.push_back(&server);
    candidates.push_back({.node = server.node});
  }
  if (up.empty())
    return nullptr;
  if (IsSuspect(call)) {
    const auto* owner =
        ingress::FindKeyOwner(call.fingerprint.value, candidates);
    return *std::ranges::find(up, owner->node, &Server::node);
  }
  // The server with the fewest running requests, as routing::ServerChooser
  // selects among servers of equal speed.
  return *std::ranges::min_element(
      up, {}, [](const Server* server) { return server->running.size(); });
}

bool CrashSimulation::IsSuspect(const Call& call) const {
  return call.lost >= 2 || !verdicts_->IsFree(call.fingerprint);
}

void CrashSimulation::StartAttempt(uint64_t id, Server& server) {
  const Call& call = calls_[id];
  const uint64_t attempt = ++last_attempt_;
  server.running[attempt] = {id, call.fingerprint, IsSuspect(call), now_};
  server.filter.OnStarted({1, attempt}, {call.fingerprint, IsSuspect(call)});
  const auto index = static_cast<size_t>(&server - servers_.data());
  ScheduleAfter(call.run, [this, index, life = server.life, attempt] {
    OnRunFinished(index, life, attempt);
  });
}

void CrashSimulation::OnRunFinished(size_t index,
                                    uint32_t life,
                                    uint64_t attempt) {
  Server& server = servers_[index];
  if (!server.is_up || server.life != life)
    return;
  const Call& call = calls_[server.running[attempt].call];
  if (call.is_poison) {
    poison_crashes_[call.fingerprint.value].push_back(now_);
    CrashServer(server);
  } else {
    OnAnswered(server, attempt);
  }
}

void CrashSimulation::OnAnswered(Server& server, uint64_t number) {
  const Attempt attempt = server.running[number];
  server.running.erase(number);
  calls_.erase(attempt.call);
  ++result_.answered;
  if (!server.filter.OnEnded({1, number}, attempt.fingerprint, server.life,
                             now_))
    return;
  Propagate([this, fingerprint = attempt.fingerprint] {
    ledger_.Refute(fingerprint, now_);
  });
}

void CrashSimulation::OnRejected(uint64_t id, base::ErrorKind error) {
  const Call& call = calls_[id];
  const bool may_move = error == base::ErrorKind::kRequestSuspected &&
                        static_cast<int>(call.tried.size()) < kMaxSendsPerCall;
  if (may_move) {
    ScheduleAfter(milliseconds(2), [this, id] { Send(id); });
    return;
  }
  if (!call.is_poison)
    ++result_.false_rejections;
  calls_.erase(id);
}

void CrashSimulation::OnLost(uint64_t id) {
  Call& call = calls_[id];
  ++call.lost;
  if (call.lost < kMaxServersPerCall) {
    ScheduleAfter(milliseconds(5), [this, id] { Send(id); });
    return;
  }
  Call returned = call;
  calls_.erase(id);
  if (returned.remaining_retries == 0)
    return;
  --returned.remaining_retries;
  returned.lost = 0;
  returned.tried.clear();
  ScheduleAfter(milliseconds(10), [this, returned] { StartCall(returned); });
}

void CrashSimulation::CrashServer(Server& server) {
  ++result_.crashes;
  server.is_up = false;
  std::vector<RunningRequest> running;
  std::vector<uint64_t> lost;
  for (const auto& [number, attempt] : server.running) {
    running.push_back(
        {attempt.fingerprint, now_ - attempt.started, attempt.is_suspect});
    lost.push_back(attempt.call);
    server.filter.OnEnded({1, number}, attempt.fingerprint, std::nullopt, now_);
  }
  server.running.clear();
  const ServerCrash crash =
      server.filter.AttributeCrash({server.node, server.life}, running, now_);
  Propagate([this, crash] { ledger_.AddCrash(crash, now_); });
  for (const uint64_t call : lost)
    OnLost(call);
  const auto index = static_cast<size_t>(&server - servers_.data());
  ScheduleAfter(options_.restart_time, [this, index] {
    servers_[index].is_up = true;
    ++servers_[index].life;
    ScheduleRandomCrash(index);
  });
}

void CrashSimulation::ScheduleRandomCrash(size_t index) {
  if (options_.mean_uptime == Duration::zero())
    return;
  ScheduleAfter(DrawExponential(options_.mean_uptime),
                [this, index, life = servers_[index].life] {
                  if (servers_[index].is_up && servers_[index].life == life)
                    CrashServer(servers_[index]);
                });
}

void CrashSimulation::CrashMany() {
  for (Server& server : servers_) {
    if (server.is_up && DrawUniform() < options_.mass_crash_share)
      CrashServer(server);
  }
  ScheduleAfter(options_.mass_crash_interval, [this] { CrashMany(); });
}

void CrashSimulation::Propagate(std::function<void()> update) {
  ScheduleAfter(options_.propagation_delay, [this, update = std::move(update)] {
    update();
    PublishVerdicts();
  });
}

void CrashSimulation::PublishVerdicts() {
  verdicts_ = std::make_shared<const Verdicts>(ledger_.AllVerdicts(now_));
  for (Server& server : servers_) {
    for (const RequestFingerprint& fingerprint :
         server.filter.SetVerdicts(verdicts_, server.life, now_)) {
      Propagate([this, fingerprint] { ledger_.Refute(fingerprint, now_); });
    }
  }
  for (const auto& [fingerprint, verdict] : verdicts_->all()) {
    if (poison_crashes_.contains(fingerprint.value))
      continue;
    false_suspects_.insert(fingerprint.value);
    if (verdict.verdict == Verdict::kQuarantined)
      false_quarantines_.insert(fingerprint.value);
    if (verdict.verdict == Verdict::kQuarantined &&
        verdict.until > now_ + CrashLedger::kFirstQuarantinePeriod)
      false_long_quarantines_.insert(fingerprint.value);
  }
}

// Verdicts also expire.
void CrashSimulation::Tick() {
  ledger_.Expire(now_);
  PublishVerdicts();
  ScheduleAfter(seconds(1), [this] { Tick(); });
}

}  // namespace chestnutport::quarantine
