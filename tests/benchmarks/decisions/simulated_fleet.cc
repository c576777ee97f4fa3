#include "decisions/simulated_fleet.h"

#include <utility>

#include "decisions/workload.h"

namespace chestnutport::bench {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr microseconds kSameVm(20);
constexpr microseconds kSameDataCentre(100);
constexpr milliseconds kAnnouncementDelay(100);
constexpr milliseconds kSuspicionAfter(500);
constexpr milliseconds kRemovalAfter(1000);

constexpr double kStragglerSpeed = 1 / 5.0;
constexpr double kFalseReportSpeed = 1 / 3.0;
constexpr double kAlternatingSpeed = 1 / 4.0;
constexpr milliseconds kAlternationPeriod(50);

// Speeds of a cold server, one for each step.
constexpr double kColdSpeeds[] = {0.25, 0.4, 0.6, 0.8, 1};
constexpr milliseconds kColdStep(60);

// Rate limits that servers state, as shares of the rate that they usually get.
constexpr double kLimitOfOne = 0.2;
constexpr double kLimitOfAll = 0.5;

constexpr milliseconds kDrainTime(150);
constexpr milliseconds kReplacementTime(100);
constexpr milliseconds kUpgradeInterval(350);

}  // namespace

SimulatedFleet::SimulatedFleet(const FleetShape& shape,
                               const Condition& condition,
                               uint64_t seed)
    : shape_(shape), condition_(condition), random_(seed) {
  for (size_t service = 0; service < shape_.services.size(); ++service) {
    for (int i = 0; i < shape_.services[service]; ++i)
      service_of_vm_.push_back(static_cast<int>(service));
  }
  current_.resize(service_of_vm_.size());
}

void SimulatedFleet::Start(OnMembersChanged on_members,
                           OnNodeStarted on_node_started) {
  on_members_ = std::move(on_members);
  on_node_started_ = std::move(on_node_started);
  for (int vm = 0; vm < vms(); ++vm)
    members_.push_back(StartNode(vm).candidate().node);
  on_members_();
  ScheduleCondition();
}

bool SimulatedFleet::IsTakingCallers(int vm) const {
  return current_[vm]->is_up() && !current_[vm]->IsDraining();
}

SimulatedServer* SimulatedFleet::Find(base::NodeId node) const {
  const auto found = by_id_.find(node);
  return found == by_id_.end() ? nullptr : found->second;
}

std::vector<routing::ServerCandidate> SimulatedFleet::Candidates(
    int service) const {
  std::vector<routing::ServerCandidate> candidates;
  for (const base::NodeId& node : members_) {
    SimulatedServer* server = Find(node);
    if (server->service() == service)
      candidates.push_back(server->announced());
  }
  return candidates;
}

Duration SimulatedFleet::Distance(int vm, int other_vm) const {
  if (vm == other_vm)
    return kSameVm;
  if (DataCentreOf(vm) == DataCentreOf(other_vm))
    return kSameDataCentre;
  return shape_.between_data_centres;
}

int SimulatedFleet::service_slots(int service) const {
  return shape_.services[service] * shape_.slots;
}

SimulatedServer& SimulatedFleet::StartNode(int vm) {
  routing::ServerCandidate candidate;
  candidate.node = base::NodeId::Draw(random_);
  candidate.data_centre = DataCentreOf(vm);
  candidate.region = shape_.user;
  candidate.slots = shape_.slots;
  servers_.push_back(std::make_unique<SimulatedServer>(
      queue_, candidate, service_of_vm_[vm], vm, condition_.report_delay));
  SimulatedServer& server = *servers_.back();
  by_id_[candidate.node] = &server;
  current_[vm] = &server;
  server.StartTicking();
  on_node_started_(vm);
  return server;
}

void SimulatedFleet::ScheduleCondition() {
  const Instant from = Instant(kFaultFrom);
  SimulatedServer& victim = *current_[0];
  switch (condition_.kind) {
    case ConditionKind::kStraggler:
      victim.speed().Set(from, kStragglerSpeed);
      break;
    case ConditionKind::kAlternatingSlowdown:
      ScheduleAlternatingSlowdown();
      break;
    case ConditionKind::kFastFailing:
      victim.FailFrom(from);
      break;
    case ConditionKind::kFalseReport:
      victim.speed().Set(from, kFalseReportSpeed);
      victim.MisreportFrom(from);
      break;
    case ConditionKind::kRateLimit:
      ScheduleRateLimit(victim, kLimitOfOne);
      break;
    case ConditionKind::kRateLimitOfAll:
      for (SimulatedServer* server : current_)
        ScheduleRateLimit(*server, kLimitOfAll);
      break;
    case ConditionKind::kRollingUpgrade:
      ScheduleUpgrade();
      break;
    case ConditionKind::kDataCentreLoss:
      ScheduleLoss();
      break;
    case ConditionKind::kSteady:
    case ConditionKind::kTenantBurst:
    case ConditionKind::kChain:
      break;
  }
}

void SimulatedFleet::ScheduleAlternatingSlowdown() {
  int turn = 0;
  for (Instant when(kFaultFrom); when < Instant(kRunLength);
       when += kAlternationPeriod, ++turn) {
    for (int vm = 0; vm < vms(); ++vm)
      current_[vm]->speed().Set(when,
                                vm % 2 == turn % 2 ? kAlternatingSpeed : 1);
  }
}

void SimulatedFleet::ScheduleRateLimit(SimulatedServer& server, double share) {
  const double usual =
      condition_.load * shape_.slots / Seconds(kMeanWork).count();
  queue_.At(Instant(kFaultFrom), [this, &server, rate = share * usual] {
    SetRateLimit(server, rate);
  });
  queue_.At(Instant(kFaultUntil),
            [this, &server] { SetRateLimit(server, std::nullopt); });
}

void SimulatedFleet::SetRateLimit(SimulatedServer& server,
                                  std::optional<double> rate) {
  server.SetRateLimit(rate);
  queue_.After(kAnnouncementDelay, [this, &server, rate] {
    server.announced().rate_limit = rate.value_or(0);
    on_members_();
  });
}

void SimulatedFleet::ScheduleUpgrade() {
  Instant when(kFaultFrom);
  for (int vm = 0; vm < vms(); ++vm, when += kUpgradeInterval)
    UpgradeOne(vm, when);
}

void SimulatedFleet::UpgradeOne(int vm, Instant when) {
  queue_.At(when, [this, vm] {
    SimulatedServer& leaving = *current_[vm];
    leaving.Drain();
    queue_.After(kAnnouncementDelay, [this, &leaving] {
      Announce(leaving, routing::ServerState::kDraining);
    });
    queue_.After(kDrainTime, [this, vm, &leaving] {
      leaving.Stop();
      RemoveMember(leaving.candidate().node);
      queue_.After(kReplacementTime, [this, vm] { RestartCold(vm); });
    });
  });
}

void SimulatedFleet::ScheduleLoss() {
  for (int vm = 0; vm < vms(); ++vm) {
    if (DataCentreOf(vm) != shape_.data_centres.front())
      continue;
    SimulatedServer& lost = *current_[vm];
    queue_.At(Instant(kFaultFrom), [&lost] { lost.Stop(); });
    queue_.At(Instant(kFaultFrom + kSuspicionAfter), [this, &lost] {
      Announce(lost, routing::ServerState::kSuspected);
    });
    queue_.At(Instant(kFaultFrom + kRemovalAfter),
              [this, &lost] { RemoveMember(lost.candidate().node); });
    queue_.At(Instant(kFaultUntil), [this, vm] { RestartCold(vm); });
  }
}

void SimulatedFleet::RestartCold(int vm) {
  SimulatedServer& server = StartNode(vm);
  Instant when = queue_.now();
  for (const double speed : kColdSpeeds) {
    server.speed().Set(when, speed);
    when += kColdStep;
  }
  queue_.After(kAnnouncementDelay, [this, &server] {
    members_.push_back(server.candidate().node);
    on_members_();
  });
}

void SimulatedFleet::Announce(SimulatedServer& server,
                              routing::ServerState state) {
  server.announced().state = state;
  on_members_();
}

void SimulatedFleet::RemoveMember(base::NodeId node) {
  std::erase(members_, node);
  on_members_();
}

std::string SimulatedFleet::DataCentreOf(int vm) const {
  return shape_.data_centres[vm % shape_.data_centres.size()];
}

}  // namespace chestnutport::bench
