// Runs the shipped decision code with a policy for choosing servers in virtual
// time. Exercises the decisions; not a realistic model of a cluster.
#ifndef DECISIONS_SIMULATION_H_
#define DECISIONS_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "decisions/call_run.h"
#include "decisions/ingress_run.h"
#include "decisions/run_figures.h"
#include "decisions/workload.h"

namespace chestnutport::bench {

template <ChoosingPolicy Policy>
class Simulation {
 public:
  Simulation(const FleetShape& shape, const Condition& condition, uint64_t seed)
      : seed_(seed), fleet_(shape, condition, seed) {}

  RunFigures Run() {
    requests_ = DrawRequests(fleet_.shape(), fleet_.condition(), seed_);
    ingresses_.resize(fleet_.vms());
    fleet_.Start([this] { OnMembersChanged(); },
                 [this](int vm) { OnNodeStarted(vm); });
    for (const CallerRequest& request : requests_)
      fleet_.queue().At(request.arrival, [this, &request] { Begin(request); });
    fleet_.queue().Run();
    return Figures();
  }

 private:
  using Ingress = IngressRun<Policy>;

  // Time after which an attempt to open a connection fails.
  static constexpr std::chrono::milliseconds kConnectTimeout{500};
  static constexpr std::chrono::milliseconds kCommandTimeout{500};

  base::Instant now() const { return fleet_.queue().now(); }

  void OnNodeStarted(int vm) {
    auto ingress = std::make_unique<Ingress>();
    ingress->vm = vm;
    ingress->origin = ++last_origin_;
    ingress->random.seed(seed_ + ingress->origin);
    const auto& candidate = fleet_.ServerOf(vm).candidate();
    for (size_t i = 0; i < fleet_.shape().services.size(); ++i) {
      const PolicyContext context{
          fleet_,
          vm,
          {candidate.data_centre, candidate.region, candidate.node}};
      ingress->services.push_back(
          std::make_unique<ServiceRun<Policy>>(context));
      ingress->services.back()->policy.SetServers(
          fleet_.Candidates(static_cast<int>(i)), now());
    }
    if (ingresses_[vm])
      retired_.push_back(std::move(ingresses_[vm]));
    ingresses_[vm] = std::move(ingress);
  }

  void OnMembersChanged() {
    for (auto& ingress : ingresses_) {
      for (size_t i = 0; i < ingress->services.size(); ++i) {
        ingress->services[i]->policy.SetServers(
            fleet_.Candidates(static_cast<int>(i)), now());
      }
    }
  }

  void Begin(const CallerRequest& request) {
    int vm = request.vm;
    while (!fleet_.IsTakingCallers(vm))
      vm = (vm + 1) % fleet_.vms();
    Ingress& ingress = *ingresses_[vm];
    calls::CallPolicy policy;
    policy.is_repeatable = request.is_repeatable;
    CallRun& call =
        NewCall(ingress, request.service, policy, now() + kDeadline);
    call.tenant = request.tenant;
    call.work = request.work;
    call.is_measured = now() >= base::Instant(kWarmUp);
    RunSteps(ingress, call, call.call_state.Start(now()));
  }

  CallRun& NewCall(Ingress& ingress,
                   int service,
                   calls::CallPolicy policy,
                   base::Instant deadline) {
    ingress.services[service]->timing.Apply(kHedgeShare, policy);
    calls_.push_back(
        CallRun{.call_state = calls::Call(policy, now(), deadline,
                                          ingress.Budgets(service))});
    CallRun& call = calls_.back();
    call.service = service;
    call.is_repeatable = policy.is_repeatable;
    call.arrival = now();
    return call;
  }

  // Carries out steps like the ingress of a node.
  void RunSteps(Ingress& ingress, CallRun& call, calls::NextSteps steps) {
    for (size_t i = 0; i < steps.size(); ++i)
      RunStep(ingress, call, calls::NextStep(steps[i]), steps);
    if (!call.call_state.IsOver())
      SetTimer(ingress, call);
  }

  void RunStep(Ingress& ingress,
               CallRun& call,
               const calls::NextStep& step,
               calls::NextSteps& steps) {
    switch (step.step) {
      case calls::Step::kSend:
        if (!Send(ingress, call, step.attempt)) {
          for (const auto& next :
               call.call_state.OnNoServer(step.attempt, now()))
            steps.push_back(next);
        }
        return;
      case calls::Step::kQueryStatus:
        SendCommand(ingress, call, step.attempt, false);
        return;
      case calls::Step::kCancel:
        SendCommand(ingress, call, step.attempt, true);
        return;
      case calls::Step::kCloseConnection:
        End(ingress, call, step.attempt,
            routing::AttemptResultKind::kUnreachable, std::nullopt);
        return;
      case calls::Step::kAbandon:
        call.attempts[step.attempt].is_abandoned = true;
        SendCommand(ingress, call, step.attempt, true);
        return;
      case calls::Step::kRelayAnswer:
        call.ok = call.attempts[step.attempt].ok;
        Finish(call, base::Outcome::kAnswered);
        return;
      case calls::Step::kAnswerError:
        Finish(call, base::AnswerTo(step.error).outcome);
        return;
    }
  }

  void SetTimer(Ingress& ingress, CallRun& call) {
    const base::Instant next = call.call_state.next_timer();
    if (call.timer_at <= next)
      return;
    call.timer_at = next;
    fleet_.queue().At(next, [this, &ingress, &call, next] {
      if (call.timer_at != next || call.call_state.IsOver())
        return;
      call.timer_at = base::Instant::max();
      const calls::NextSteps steps = call.call_state.OnTimer(now());
      // Attempts started by the timer are hedges.
      hedged_ +=
          std::ranges::count(steps, calls::Step::kSend, &calls::NextStep::step);
      RunSteps(ingress, call, steps);
    });
  }

  const routing::ServerCandidate* ChooseServer(Policy& policy,
                                               const CallRun& call,
                                               base::Random& random) {
    if constexpr (requires {
                    policy.ChooseForCaller(call.tried_nodes, now(), random);
                  }) {
      if (call.depth == 0)
        return policy.ChooseForCaller(call.tried_nodes, now(), random);
    }
    return policy.Choose(call.tried_nodes, now(), random);
  }

  bool Send(Ingress& ingress, CallRun& call, int attempt) {
    Policy& policy = ingress.services[call.service]->policy;
    call.attempts.resize(attempt + 1);
    const auto* chosen = ChooseServer(policy, call, ingress.random);
    if (!chosen)
      return false;
    call.tried_nodes.push_back(chosen->node);
    AttemptRun& run = call.attempts[attempt];
    run.id = {ingress.origin, ++ingress.last_attempt};
    run.server = fleet_.Find(chosen->node);
    run.sent_at = now();
    run.is_open = true;
    policy.OnSent(chosen->node, now());
    run.server->AddOutstanding(1);
    const auto distance = fleet_.Distance(ingress.vm, run.server->vm());
    fleet_.queue().After(distance, [this, &ingress, &call, attempt] {
      Arrive(ingress, call, attempt);
    });
    return true;
  }

  void Arrive(Ingress& ingress, CallRun& call, int attempt) {
    const AttemptRun& run = call.attempts[attempt];
    SimulatedServer& server = *run.server;
    if (!server.is_up()) {
      fleet_.queue().At(run.sent_at + kConnectTimeout, [this, &ingress, &call,
                                                        attempt] {
        OnEnd(ingress, call, attempt, routing::AttemptResultKind::kUnreachable,
              {calls::AttemptVerdict::kNotSent});
      });
      return;
    }
    server.Arrive({run.id, "tenant-" + std::to_string(call.tenant), "",
                   call.call_state.deadline()},
                  MakeJob(ingress, call, attempt));
  }

  Job MakeJob(Ingress& ingress, CallRun& call, int attempt) {
    SimulatedServer& server = *call.attempts[attempt].server;
    const auto distance = fleet_.Distance(ingress.vm, server.vm());
    Job job;
    job.work = call.work;
    job.on_start = [&call] { ++call.executions; };
    if (IsChain() && call.depth + 1 < kChainDepth) {
      job.make_nested_call = [this, &server, &call](auto done) {
        MakeNestedCall(server, call, std::move(done));
      };
    }
    job.on_answer = [this, &ingress, &call, attempt,
                     distance](const ServerAnswer& answer) {
      fleet_.queue().After(distance, [this, &ingress, &call, attempt, answer] {
        OnAnswer(ingress, call, attempt, answer);
      });
    };
    return job;
  }

  void MakeNestedCall(SimulatedServer& server,
                      const CallRun& parent,
                      std::function<void(bool ok)> done) {
    Ingress& ingress = *ingresses_[server.vm()];
    const int depth = parent.depth + 1;
    calls::CallPolicy policy;
    policy.is_repeatable = parent.is_repeatable;
    policy.is_retried_above = true;
    CallRun& call = NewCall(ingress, ServiceAtDepth(fleet_.shape(), depth),
                            policy, parent.call_state.deadline());
    call.depth = depth;
    call.work = ChainWork(depth, now());
    call.on_end = std::move(done);
    RunSteps(ingress, call, call.call_state.Start(now()));
  }

  void OnAnswer(Ingress& ingress,
                CallRun& call,
                int attempt,
                const ServerAnswer& answer) {
    AttemptRun& run = call.attempts[attempt];
    run.ok = answer.kind == routing::AttemptResultKind::kAnswered;
    if (run.ok && run.is_open) {
      ingress.services[call.service]->timing.OnAnswer(now() - run.sent_at,
                                                      now());
    }
    calls::AttemptEnd end{calls::AttemptVerdict::kRefused, answer.error,
                          answer.retry_after};
    if (answer.kind != routing::AttemptResultKind::kRefused)
      end = {run.ok ? calls::AttemptVerdict::kAnswered
                    : calls::AttemptVerdict::kFailed};
    OnEnd(ingress, call, attempt, answer.kind, end, answer.load);
  }

  void OnEnd(Ingress& ingress,
             CallRun& call,
             int attempt,
             routing::AttemptResultKind kind,
             const calls::AttemptEnd& end,
             const std::optional<wire::LoadReport>& load = std::nullopt) {
    const bool is_abandoned = call.attempts[attempt].is_abandoned;
    if (is_abandoned && kind != routing::AttemptResultKind::kAnswered)
      kind = routing::AttemptResultKind::kCancelled;
    if (End(ingress, call, attempt, kind, load) && !is_abandoned)
      RunSteps(ingress, call,
               call.call_state.OnAttemptEnd(attempt, end, now()));
  }

  // Reports the end of an attempt to the policy. Returns false if it had
  // already ended.
  bool End(Ingress& ingress,
           CallRun& call,
           int attempt,
           routing::AttemptResultKind kind,
           const std::optional<wire::LoadReport>& load) {
    AttemptRun& run = call.attempts[attempt];
    if (!run.is_open)
      return false;
    run.is_open = false;
    run.server->AddOutstanding(-1);
    ingress.services[call.service]->policy.OnEnded(
        run.server->candidate().node, {kind, now() - run.sent_at, load}, now());
    return true;
  }

  void SendCommand(Ingress& ingress, CallRun& call, int attempt, bool cancel) {
    SimulatedServer& server = *call.attempts[attempt].server;
    const base::Instant command_sent_at = now();
    const auto distance = fleet_.Distance(ingress.vm, server.vm());
    fleet_.queue().After(distance, [this, &ingress, &call, attempt, cancel,
                                    command_sent_at, distance, &server] {
      const auto answer = server.SendCommand(call.attempts[attempt].id, cancel);
      const bool is_answered = answer != calls::AttemptStatus::kNoAnswer;
      const base::Instant back =
          is_answered ? now() + distance : command_sent_at + kCommandTimeout;
      fleet_.queue().At(back, [this, &ingress, &call, attempt, cancel,
                               command_sent_at, answer, is_answered] {
        if (call.attempts[attempt].is_abandoned)
          return;
        if (is_answered) {
          ingress.services[call.service]->timing.OnStatusReply(
              now() - command_sent_at, now());
        }
        RunSteps(ingress, call,
                 call.call_state.OnStatusReply(attempt, answer, cancel, now()));
      });
    });
  }

  void Finish(CallRun& call, base::Outcome outcome) {
    ++call.final_answers;
    call.outcome = outcome;
    call.ended_at = now();
    if (call.on_end)
      call.on_end(call.ok);
  }

  bool IsChain() const {
    return fleet_.condition().kind == ConditionKind::kChain;
  }

  RunFigures Figures() const {
    RunFigures figures;
    const auto measured = std::chrono::duration<double>(kRunLength - kWarmUp);
    figures.capacity = CapacityPerSecond(fleet_.shape()) * measured.count();
    for (const CallRun& call : calls_)
      Count(call, figures);
    figures.hedged = hedged_;
    figures.retried -= hedged_;
    std::ranges::sort(figures.latencies);
    std::ranges::sort(figures.quiet_latencies);
    return figures;
  }

  void Count(const CallRun& call, RunFigures& figures) const {
    const bool not_run_but_ran =
        call.outcome == base::Outcome::kNotRun && call.executions > 0;
    const bool ran_twice = !call.is_repeatable && call.executions > 1;
    const bool misanswered = call.final_answers != 1;
    if (not_run_but_ran || ran_twice || misanswered)
      ++figures.wrong;
    const int attempts = SentAttempts(call);
    ++figures.all_calls;
    figures.retried += std::max(0, attempts - 1);
    if (call.depth == kChainDepth - 1) {
      ++figures.leaf_calls;
      figures.leaf_attempts += attempts;
    }
    if (call.is_measured)
      CountMeasured(call, figures);
  }

  static int SentAttempts(const CallRun& call) {
    return static_cast<int>(std::ranges::count_if(
        call.attempts,
        [](const AttemptRun& run) { return run.server != nullptr; }));
  }

  void CountMeasured(const CallRun& call, RunFigures& figures) const {
    ++figures.calls;
    const auto took = call.ended_at - call.arrival;
    const std::chrono::duration<double, std::milli> latency = took;
    if (call.outcome == base::Outcome::kNotRun) {
      ++figures.refused;
      figures.refused_after_fault +=
          call.arrival >= base::Instant(kFaultUntil + kRecoveryTime);
      figures.slowest_refusal =
          std::max(figures.slowest_refusal, latency.count());
    }
    if (call.outcome == base::Outcome::kUnknown)
      ++figures.unknown;
    if (call.outcome == base::Outcome::kAnswered && !call.ok)
      ++figures.failed;
    if (!call.ok || took > kDeadline)
      return;
    ++figures.answered;
    figures.latencies.push_back(latency.count());
    if (call.tenant != kBurstingTenant)
      figures.quiet_latencies.push_back(latency.count());
  }

  uint64_t seed_;
  SimulatedFleet fleet_;
  std::vector<CallerRequest> requests_;
  uint64_t last_origin_ = 0;
  int64_t hedged_ = 0;
  std::vector<std::unique_ptr<Ingress>> ingresses_;  // Indexed by VM.
  std::vector<std::unique_ptr<Ingress>> retired_;
  std::deque<CallRun> calls_;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_SIMULATION_H_
