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

// Servers that a call reaches, and nodes that it is sent to.
constexpr int kMostServers = 3;
constexpr int kMostSends = 10;
constexpr uint64_t kPopular = 10;
constexpr uint64_t kFirstPopular = 100;
constexpr seconds kTimeToHear(3);

}  // namespace

CrashSimulation::CrashSimulation(const CrashSimulationOptions& options)
    : options_(options), random_(options.seed), end_(now_ + options.length) {
  servers_.resize(options.servers);
  for (size_t i = 0; i < servers_.size(); ++i) {
    servers_[i].node = {1 + random_()};
  }
  for (size_t i = 0; i < servers_.size(); ++i)
    ScheduleChanceEnd(i);
  if (options.mass_interval > Duration::zero())
    After(options.mass_interval, [this] { EndMany(); });
}

CrashSimulationResult CrashSimulation::Run() {
  ArriveNext();
  Tick();
  for (size_t i = 0; i < options_.guilty; ++i) {
    const RequestFingerprint content{1 + i};
    guilty_ends_[content.value];
    const auto send = std::make_shared<std::function<void()>>();
    *send = [this, content, send] {
      Begin(
          {.content = content, .run = options_.guilty_run, .is_guilty = true});
      After(options_.guilty_interval, *send);
    };
    After(seconds(2), *send);
  }
  while (!events_.empty() && events_.top().when <= end_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.when;
    event.act();
  }
  for (const auto& [content, ends] : guilty_ends_) {
    result_.ends_by_guilty.push_back(ends.size());
    const bool has_three = ends.size() >= 3;
    result_.late_by_guilty.push_back(
        has_three
            ? static_cast<size_t>(std::ranges::count_if(
                  ends,
                  [&](Instant end) { return end > ends[2] + kTimeToHear; }))
            : 0);
    const auto verdict = ledger_.VerdictOf({content}, now_).verdict;
    result_.guilty_in_quarantine += verdict == Verdict::kQuarantined ? 1 : 0;
  }
  result_.wrong_suspects = wrong_suspects_.size();
  result_.wrong_quarantines = wrong_quarantines_.size();
  result_.wrong_long_holds = wrong_long_holds_.size();
  return result_;
}

void CrashSimulation::At(Instant when, std::function<void()> act) {
  events_.push({when, ++order_, std::move(act)});
}

void CrashSimulation::After(Duration delay, std::function<void()> act) {
  At(now_ + delay, std::move(act));
}

double CrashSimulation::Chance() {
  return std::uniform_real_distribution<>(0, 1)(random_);
}

Duration CrashSimulation::Exponential(Duration mean) {
  const double drawn = std::exponential_distribution<>(1)(random_);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(mean) * drawn);
}

void CrashSimulation::ArriveNext() {
  const bool is_popular = Chance() < options_.popular_share;
  const bool is_long = !is_popular && Chance() < options_.long_share;
  const uint64_t content =
      is_popular ? kFirstPopular + random_() % kPopular : ++last_content_;
  Begin({.content = {content},
         .run = is_long ? options_.long_run
                        : options_.usual_run / 2 +
                              Exponential(options_.usual_run / 2)});
  const auto interval = std::chrono::duration_cast<Duration>(
      seconds(1) / options_.requests_per_second);
  After(Exponential(interval), [this] { ArriveNext(); });
}

void CrashSimulation::Begin(Call call) {
  const uint64_t id = ++last_call_;
  ++result_.calls;
  calls_[id] = std::move(call);
  Send(id);
}

void CrashSimulation::Send(uint64_t id) {
  Call& call = calls_[id];
  const VerdictUntil verdict = verdicts_->Of(call.content);
  if (verdict.verdict == Verdict::kQuarantined) {
    OnRefused(id, base::ErrorKind::kRequestQuarantined);
    return;
  }
  Server* server = Choose(call);
  if (!server) {
    calls_.erase(id);
    return;
  }
  call.tried.push_back(server->node);
  if (const auto refusal =
          server->guard.Judge({call.content, IsSuspect(call)}, now_))
    OnRefused(id, refusal->error);
  else
    Start(id, *server);
}

CrashSimulation::Server* CrashSimulation::Choose(const Call& call) {
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
    const auto* owner = ingress::OwnerAmong(call.content.value, candidates);
    return *std::ranges::find(up, owner->node, &Server::node);
  }
  // Where least is running, as the chooser does on servers of equal speed.
  return *std::ranges::min_element(
      up, {}, [](const Server* server) { return server->running.size(); });
}

bool CrashSimulation::IsSuspect(const Call& call) const {
  return call.lost >= 2 || !verdicts_->IsFree(call.content);
}

void CrashSimulation::Start(uint64_t id, Server& server) {
  const Call& call = calls_[id];
  const uint64_t attempt = ++last_attempt_;
  server.running[attempt] = {id, call.content, IsSuspect(call), now_};
  server.guard.OnStarted({1, attempt}, {call.content, IsSuspect(call)});
  const auto index = static_cast<size_t>(&server - servers_.data());
  After(call.run, [this, index, life = server.life, attempt] {
    OnRunOver(index, life, attempt);
  });
}

void CrashSimulation::OnRunOver(size_t index, uint32_t life, uint64_t attempt) {
  Server& server = servers_[index];
  if (!server.is_up || server.life != life)
    return;
  const Call& call = calls_[server.running[attempt].call];
  if (call.is_guilty) {
    guilty_ends_[call.content.value].push_back(now_);
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
  if (!server.guard.OnEnded({1, number}, attempt.content, server.life, now_))
    return;
  Tell([this, content = attempt.content] { ledger_.Refute(content, now_); });
}

void CrashSimulation::OnRefused(uint64_t id, base::ErrorKind error) {
  const Call& call = calls_[id];
  const bool may_move = error == base::ErrorKind::kRequestSuspected &&
                        static_cast<int>(call.tried.size()) < kMostSends;
  if (may_move) {
    After(milliseconds(2), [this, id] { Send(id); });
    return;
  }
  if (!call.is_guilty)
    ++result_.wrong_refusals;
  calls_.erase(id);
}

void CrashSimulation::OnLost(uint64_t id) {
  Call& call = calls_[id];
  ++call.lost;
  if (call.lost < kMostServers) {
    After(milliseconds(5), [this, id] { Send(id); });
    return;
  }
  Call returned = call;
  calls_.erase(id);
  if (returned.returns == 0)
    return;
  --returned.returns;
  returned.lost = 0;
  returned.tried.clear();
  After(milliseconds(10), [this, returned] { Begin(returned); });
}

void CrashSimulation::CrashServer(Server& server) {
  ++result_.ends;
  server.is_up = false;
  std::vector<RunningRequest> running;
  std::vector<uint64_t> lost;
  for (const auto& [number, attempt] : server.running) {
    running.push_back(
        {attempt.content, now_ - attempt.started, attempt.is_suspect});
    lost.push_back(attempt.call);
    server.guard.OnEnded({1, number}, attempt.content, std::nullopt, now_);
  }
  server.running.clear();
  const ServerCrash crash =
      server.guard.AttributeCrash({server.node, server.life}, running, now_);
  Tell([this, crash] { ledger_.AddCrash(crash, now_); });
  for (const uint64_t call : lost)
    OnLost(call);
  const auto index = static_cast<size_t>(&server - servers_.data());
  After(options_.down_for, [this, index] {
    servers_[index].is_up = true;
    ++servers_[index].life;
    ScheduleChanceEnd(index);
  });
}

void CrashSimulation::ScheduleChanceEnd(size_t index) {
  if (options_.mean_life == Duration::zero())
    return;
  After(Exponential(options_.mean_life),
        [this, index, life = servers_[index].life] {
          if (servers_[index].is_up && servers_[index].life == life)
            CrashServer(servers_[index]);
        });
}

void CrashSimulation::EndMany() {
  for (Server& server : servers_) {
    if (server.is_up && Chance() < options_.mass_share)
      CrashServer(server);
  }
  After(options_.mass_interval, [this] { EndMany(); });
}

void CrashSimulation::Tell(std::function<void()> news) {
  After(options_.news_delay, [this, news = std::move(news)] {
    news();
    PublishVerdicts();
  });
}

void CrashSimulation::PublishVerdicts() {
  verdicts_ = std::make_shared<const Verdicts>(ledger_.AllVerdicts(now_));
  for (Server& server : servers_) {
    for (const RequestFingerprint& content :
         server.guard.SetVerdicts(verdicts_, server.life, now_)) {
      Tell([this, content] { ledger_.Refute(content, now_); });
    }
  }
  for (const auto& [content, verdict] : verdicts_->all()) {
    if (guilty_ends_.contains(content.value))
      continue;
    wrong_suspects_.insert(content.value);
    if (verdict.verdict == Verdict::kQuarantined)
      wrong_quarantines_.insert(content.value);
    if (verdict.verdict == Verdict::kQuarantined &&
        verdict.until > now_ + CrashLedger::kFirstQuarantinePeriod)
      wrong_long_holds_.insert(content.value);
  }
}

// Verdicts end with time, too.
void CrashSimulation::Tick() {
  ledger_.Expire(now_);
  PublishVerdicts();
  After(seconds(1), [this] { Tick(); });
}

}  // namespace chestnutport::quarantine
