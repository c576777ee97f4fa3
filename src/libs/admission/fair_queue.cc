#include "admission/fair_queue.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace chestnutport::admission {
namespace {

using base::AttemptId;
using base::Duration;
using base::Instant;

// Enough for 72 tenants in ten classes, the largest deployment that declares
// tenants. Flows are kept, also of tenants that are no longer declared.
constexpr size_t kMaxFlows = 1024;
// Weight of a class relative to the next less urgent one.
constexpr double kClassRatio = 8;
// Server time per request in seconds, assumed before the first sample.
constexpr double kDefaultCost = 0.001;

// Tenant name of the flow that new tenants of a class share above kMaxFlows.
constexpr char kOtherTenants[] = "";

// Returns the classes with their ranks and weights, the most urgent first.
template <typename ClassState>
std::vector<ClassState> MakeClasses(std::vector<ClassUrgency> declared) {
  if (declared.empty())
    declared.push_back({});
  std::ranges::stable_sort(declared, {}, &ClassUrgency::urgency);
  std::vector<ClassState> classes(declared.size());
  int rank = 0;
  for (size_t i = 0; i < declared.size(); ++i) {
    if (i > 0 && declared[i].urgency != declared[i - 1].urgency)
      rank = std::min(rank + 1, FairQueue::kLeastUrgentRank);
    classes[i].name = declared[i].name;
    classes[i].rank = rank;
    for (int step = rank; step < FairQueue::kLeastUrgentRank; ++step)
      classes[i].tag.weight *= kClassRatio;
  }
  return classes;
}

// Returns nothing for zero, which means that there is no sample.
}  // namespace

FairQueue::FairQueue(const TrafficShares& shares) {
  SetShares(shares);
}

void FairQueue::SetShares(const TrafficShares& shares) {
  tenants_ = shares.tenants;
  const std::vector<ClassState> before =
      std::exchange(classes_, MakeClasses<ClassState>(shares.classes));
  for (size_t i = 0; i < flows_.size(); ++i) {
    FlowState& flow = flows_[i];
    const auto id = static_cast<FlowId>(i);
    flow.traffic_class = ClassIndex(before[flow.traffic_class].name);
    flow.tag = {0, ShareOf(flow.tenant)};
    ClassState& parent = classes_[flow.traffic_class];
    parent.by_tenant.emplace(flow.tenant, id);
    if (!flow.waiting.empty())
      parent.active.push_back(id);
  }
  virtual_time_ = 0;
}

FlowId FairQueue::FlowFor(std::string_view traffic_class,
                          std::string_view tenant) {
  const size_t index = ClassIndex(traffic_class);
  const auto& known = classes_[index].by_tenant;
  const auto found = known.find(base::AbslView(tenant));
  if (found != known.end())
    return found->second;
  if (flows_.size() < kMaxFlows)
    return AddFlow(index, tenant);
  const auto others = known.find(kOtherTenants);
  return others != known.end() ? others->second : AddFlow(index, kOtherTenants);
}

void FairQueue::Push(const QueuedAttempt& attempt) {
  FlowState& flow = flows_[attempt.flow];
  ClassState& parent = classes_[flow.traffic_class];
  if (parent.active.empty())
    parent.tag.start = std::max(parent.tag.start, virtual_time_);
  if (flow.waiting.empty()) {
    flow.tag.start = std::max(flow.tag.start, parent.virtual_time);
    parent.active.push_back(attempt.flow);
  }
  const auto place = std::ranges::upper_bound(flow.waiting, attempt.deadline,
                                              {}, &QueuedAttempt::deadline);
  flow.waiting.insert(place, attempt);
  ++size_;
}

std::optional<QueuedAttempt> FairQueue::Pop(int max_rank) {
  ClassState* first = nullptr;
  for (ClassState& candidate : classes_) {
    if (!candidate.active.empty() && candidate.rank <= max_rank &&
        (!first || candidate.tag.start < first->tag.start)) {
      first = &candidate;
    }
  }
  if (!first)
    return std::nullopt;
  const FlowId id = *std::ranges::min_element(
      first->active, {},
      [this](FlowId flow) { return flows_[flow].tag.start; });
  FlowState& flow = flows_[id];
  const double cost = Cost(flow);
  virtual_time_ = first->tag.start;
  first->virtual_time = flow.tag.start;
  first->tag.start += cost / first->tag.weight;
  flow.tag.start += cost / flow.tag.weight;
  return TakeAt(id, 0);
}

std::optional<QueuedAttempt> FairQueue::PopExpired(Instant now) {
  for (const ClassState& parent : classes_) {
    for (const FlowId id : parent.active) {
      if (flows_[id].waiting.front().deadline <= now)
        return TakeAt(id, 0);
    }
  }
  return std::nullopt;
}

std::optional<QueuedAttempt> FairQueue::PopMostOverShare() {
  FlowId most = -1;
  double most_queued_per_weight = 0;
  for (const ClassState& parent : classes_) {
    for (const FlowId id : parent.active) {
      const FlowState& flow = flows_[id];
      const double queued_per_weight =
          static_cast<double>(flow.waiting.size()) / Weight(flow);
      if (queued_per_weight < most_queued_per_weight)
        continue;
      most = id;
      most_queued_per_weight = queued_per_weight;
    }
  }
  if (most < 0)
    return std::nullopt;
  return TakeAt(most, flows_[most].waiting.size() - 1);
}

bool FairQueue::Remove(const AttemptId& attempt) {
  for (const ClassState& parent : classes_) {
    for (const FlowId id : parent.active) {
      const auto& waiting = flows_[id].waiting;
      const auto found =
          std::ranges::find(waiting, attempt, &QueuedAttempt::attempt);
      if (found == waiting.end())
        continue;
      TakeAt(id, static_cast<size_t>(found - waiting.begin()));
      return true;
    }
  }
  return false;
}

void FairQueue::OnServed(FlowId id, Duration service_time) {
  const double seconds = std::chrono::duration<double>(service_time).count();
  flows_[id].cost.Add(seconds);
  mean_cost_.Add(seconds);
}

double FairQueue::RequestsAhead(FlowId id) const {
  const FlowState& flow = flows_[id];
  const auto own_queued = static_cast<double>(flow.waiting.size());
  const double turns_per_weight = (own_queued + 1) / Weight(flow);
  double ahead = own_queued;
  for (const ClassState& parent : classes_) {
    for (const FlowId other_id : parent.active) {
      if (other_id == id)
        continue;
      const FlowState& other = flows_[other_id];
      ahead += std::min(static_cast<double>(other.waiting.size()),
                        turns_per_weight * Weight(other));
    }
  }
  return ahead;
}

int FairQueue::RankOf(FlowId flow) const {
  return classes_[flows_[flow].traffic_class].rank;
}

bool FairQueue::HasQueuedUpTo(int rank) const {
  return std::ranges::any_of(classes_, [rank](const ClassState& waiting) {
    return waiting.rank <= rank && !waiting.active.empty();
  });
}

size_t FairQueue::ClassIndex(std::string_view name) const {
  const auto found = std::ranges::find(classes_, name, &ClassState::name);
  return found == classes_.end()
             ? classes_.size() - 1
             : static_cast<size_t>(found - classes_.begin());
}

FlowId FairQueue::AddFlow(size_t class_index, std::string_view tenant) {
  FlowState flow;
  flow.tenant = tenant;
  flow.traffic_class = class_index;
  flow.tag.weight = ShareOf(tenant);
  flows_.push_back(std::move(flow));
  const auto id = static_cast<FlowId>(flows_.size() - 1);
  classes_[class_index].by_tenant.emplace(std::string(tenant), id);
  return id;
}

double FairQueue::ShareOf(std::string_view tenant) const {
  const auto found = std::ranges::find(tenants_, tenant, &TenantShare::name);
  return found == tenants_.end() ? 1 : found->share;
}

double FairQueue::Cost(const FlowState& flow) const {
  if (flow.cost.mean() > 0)
    return flow.cost.mean();
  return mean_cost_.mean() > 0 ? mean_cost_.mean() : kDefaultCost;
}

double FairQueue::Weight(const FlowState& flow) const {
  return flow.tag.weight * classes_[flow.traffic_class].tag.weight;
}

QueuedAttempt FairQueue::TakeAt(FlowId id, size_t position) {
  FlowState& flow = flows_[id];
  const auto place = flow.waiting.begin() + static_cast<ptrdiff_t>(position);
  const QueuedAttempt taken = *place;
  flow.waiting.erase(place);
  if (flow.waiting.empty())
    std::erase(classes_[flow.traffic_class].active, id);
  --size_;
  return taken;
}

}  // namespace chestnutport::admission
